package vwmessage

// MessageKind implements Body.
func (*Hello) MessageKind() Kind { return KindHello }

// MessageKind implements Body.
func (*Failure) MessageKind() Kind { return KindFailure }

// MessageKind implements Body.
func (*Ping) MessageKind() Kind { return KindPing }

// MessageKind implements Body.
func (*LeaseRequest) MessageKind() Kind { return KindLeaseRequest }

// MessageKind implements Body.
func (*LeaseReply) MessageKind() Kind { return KindLeaseReply }

// MessageKind implements Body.
func (*Demand) MessageKind() Kind { return KindDemand }

// MessageKind implements Body.
func (*Credit) MessageKind() Kind { return KindCredit }

// MessageKind implements Body.
func (*CreditReturn) MessageKind() Kind { return KindCreditReturn }

// MessageKind implements Body.
func (*Start) MessageKind() Kind { return KindStart }

// MessageKind implements Body.
func (*Result) MessageKind() Kind { return KindResult }

// MessageKind implements Body.
func (*Acknowledge) MessageKind() Kind { return KindAcknowledge }

// MessageKind implements Body.
func (*Fence) MessageKind() Kind { return KindFence }

// MessageKind implements Body.
func (*FenceReply) MessageKind() Kind { return KindFenceReply }

// MessageKind implements Body.
func (*Cancel) MessageKind() Kind { return KindCancel }

// MessageKind implements Body.
func (*Leaving) MessageKind() Kind { return KindLeaving }

// MessageKind implements Body.
func (*AwaitAnswer) MessageKind() Kind { return KindAwaitAnswer }

// MessageKind implements Body.
func (*Answer) MessageKind() Kind { return KindAnswer }

// MessageKind implements Body.
func (*Propose) MessageKind() Kind { return KindPropose }

// MessageKind implements Body.
func (*Outcome) MessageKind() Kind { return KindOutcome }

// MessageKind implements Body.
func (*Read) MessageKind() Kind { return KindRead }

// MessageKind implements Body.
func (*View) MessageKind() Kind { return KindView }

// MessageKind implements Body.
func (*Replication) MessageKind() Kind { return KindReplication }

// MessageKind implements Body.
func (*CreditRecall) MessageKind() Kind { return KindCreditRecall }

// MessageKind implements Body.
func (*Register) MessageKind() Kind { return KindRegister }

// MessageKind implements Body.
func (*ConfigAnnounce) MessageKind() Kind { return KindConfigAnnounce }

// MessageKind implements Body.
func (*Resume) MessageKind() Kind { return KindResume }

// MessageKind implements Body.
func (*Load) MessageKind() Kind { return KindLoad }

// MessageKind implements Body.
func (*Run) MessageKind() Kind { return KindRun }

// MessageKind implements Body.
func (*RunEnd) MessageKind() Kind { return KindRunEnd }

// MessageKind implements Body.
func (*StopRuns) MessageKind() Kind { return KindStopRuns }

// MessageKind implements Body.
func (*Want) MessageKind() Kind { return KindWant }

// MessageKind implements Body.
func (*Offer) MessageKind() Kind { return KindOffer }

// MessageKind implements Body.
func (*RankedWant) MessageKind() Kind { return KindRankedWant }

// MessageKind implements Body.
func (*PackedRun) MessageKind() Kind { return KindPackedRun }
