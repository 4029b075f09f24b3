package timeline

// Kinds returns all event kinds, sorted.
func Kinds() []Kind {
	return []Kind{
		BatchFormed, BatchServed, ConfigAccepted, ConfigInForce, DrainBegun, DrainEnded, KeyRefused,
		LeaseAcquired, LeaseLost, MemberJoined, MemberLost, OrderSent, OrderSettled, RequestEnded,
		RequestGranted, RequestQuarantined, RequestRefused, RequestStarted, SampleDiscarded, ServerCrashed,
		ServerLeaving, ServerSeen, Started, StoreLost, StoreReached, StreamResumed, ViewConfirmed,
		ViewUnconfirmed, WeightsOrdered, WeightsServed, WindowReported, WindowSealed,
	}
}
