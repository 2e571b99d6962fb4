package upstr_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"dandelionsail.example/dandelionsail/internal/upstr"
)

func TestOffers(t *testing.T) {
	loaded := []string{upstr.LoadedName("lyric", "v2", ""), upstr.LoadedName("lyric", "v2", "malayalam"), "plain"}
	cases := map[string]bool{
		"lyric": true, "lyric:malayalam": true, "lyric:hindi": false, "plain": true, "plain:malayalam": false, "lyri": false, "": false,
	}
	for requested, offered := range cases {
		assert.Equal(t, upstr.Offers(loaded, requested), offered, requested)
	}
}
