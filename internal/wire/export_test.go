package wire

// Numbers returns the numbers of all message types.
func Numbers() map[uint64]bool {
	numbers := map[uint64]bool{}
	for number := range decoders {
		numbers[number] = true
	}
	return numbers
}

// NumberOf returns the number of the message's type.
func NumberOf(msg Message) uint64 { return kindOf(msg) }
