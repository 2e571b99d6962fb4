package slope

// Names of the series that are measured outside of MeasureState.
const (
	IdleBytes     = "Instance.IdleBytes"
	IdleProcessor = "Instance.IdleProcessor"
	IdleMemory    = "Instance.IdleMemory"
	PermitBytes   = "Permit.Bytes"
	PermitTime    = "Permit.DecisionTime"
	PermitMemory  = "Permit.Memory"
	UsageBytes    = "Usage.Bytes"
	RelayBytes    = "Config.RelayBytes"
	ListBytes     = "Platform.ListBytes"
	ReportBytes   = "Engine.ReportBytes"
	ConfigReads   = "Store.ConfigReads"
	ConfigWrites  = "Store.ConfigWrites"
	ClaimWrites   = "Store.ClaimWrites"
	LeaseWrites   = "Store.LeaseWrites"
)

// Roles of the capacity tables.
const (
	roleEntry       = "Every instance"
	roleCoordinator = "Coordinator of a pool (a part that every instance plays)"
	roleStore       = "The platform's key-value service"
)

// claimShare is the share of requests that are non-idempotent and carry a key. The requirements don't state it; one in
// fifty is assumed.
const claimShare = 0.02

// Assumptions of the network items.
const (
	// watchedEngines is the maximum number of engines whose load reports one Instance reads.
	watchedEngines = 64
	// restartsPerDay is the number of instances that are restarted or replaced on an ordinary day.
	restartsPerDay = 4300.0
	// changesPerRestart is the number of list changes of a restart: the instance leaves the list and joins it again.
	changesPerRestart = 2
)

// Items returns the contributions to the cost of each role at the target size.
func Items(tg Target) []Item {
	return []Item{
		{roleEntry, Processor, "applying patches", ConfigApplyTime, tg.Organisations, tg.PatchRate(), "numbered log; each patch applied once"},
		{roleEntry, Processor, "an idle process: membership, ticks, list, reports of 6 upstreams", IdleProcessor, tg.Instances, 1, "a few random probes a second, whatever the size; one tick for all timeouts"},
		{roleEntry, Memory, "replicas", ReplicaMemory, tg.Replicas, 1, "one record a listed replica"},
		{roleEntry, Memory, "organisations in the configuration", OrganisationMemory, tg.Organisations, 1, "one configuration in force"},
		{roleEntry, Memory, "objectives", ObjectiveMemory, 2 * tg.Models, 1, "rings of buckets"},
		{roleEntry, Memory, "open requests", RequestMemory, 20 * tg.RequestRate(), 1, "one record until the one Finish"},
		{roleEntry, Memory, "an idle process", IdleMemory, tg.Instances, 1, "resident memory of the process, the program itself included"},
		{roleEntry, Network, "membership", IdleBytes, tg.Instances, 1, "gossip piggybacked on probes, over QUIC; sent and received"},
		{roleEntry, Network, "patches from peers", RelayBytes, tg.Organisations, tg.PatchRate(), "the version on peer messages; patches from the peer that announced it"},
		{roleEntry, Network, "usage of organisations", UsageBytes, tg.Organisations, 1, "the top users, announced rarely"},
		{roleEntry, Network, "permits asked for", PermitBytes, 1, tg.PermitRate(), "long prompts only"},
		{roleEntry, Network, "load reports of the engines watched, two a second", ReportBytes, 1, 2 * watchedEngines, "at most 64 engines an instance; digests from the pools' coordinators are designed, not built"},
		{roleEntry, Network, "the instance list, read again at each change", ListBytes, tg.Replicas, changesPerRestart * restartsPerDay / secondsPerDay, "read when its entity tag changes; differences relayed within a failure domain are designed, not built"},
		{roleCoordinator, Processor, "deciding permits", PermitTime, tg.PoolReplicas(), tg.PermitRate(), "rendezvous hashing over live members"},
		{roleCoordinator, Network, "answering permits", PermitBytes, 1, tg.PermitRate(), "one reply per request"},
		{roleCoordinator, Memory, "reservations", PermitMemory, tg.PoolReplicas() * tg.PoolsPerInstance(), 1, "one record a permit"},
		{roleStore, Writes, "patches", ConfigWrites, tg.Instances, tg.PatchRate(), "one create a patch, a snapshot now and then"},
		{roleStore, Writes, "claims", ClaimWrites, claimShare * tg.RequestsPerSecond, 1, "many claims a write of their shard"},
		{roleStore, Writes, "leases of pools", LeaseWrites, tg.Models * tg.FailureDomains, 1, "one lease a pool"},
		{roleStore, Reads, "followers of the configuration", ConfigReads, tg.FailureDomains, 1, "two watchers a failure domain"},
	}
}
