package vwcontrol

import (
	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/internal/process/vwraft"
	"vanillawind.example/vanillawind/internal/version/vwrule"
	"vanillawind.example/vanillawind/internal/version/vwstate"
	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwverdict"
)

// serve handles a request. A member that is not the leader forwards it if mayForward is set; forwarded requests are not
// forwarded again.
func (c *core) serve(body vwmessage.Body, answer Answer, mayForward bool) {
	c.advanceClock()
	if message, reads := body.(*vwmessage.Read); reads {
		c.serveRead(message, answer, mayForward)
		return
	}
	if !c.node.IsLeader() {
		c.forward(body, answer, mayForward)
		return
	}
	switch message := body.(type) {
	case *vwmessage.Propose:
		c.servePropose(message, answer)
	case *vwmessage.LeaseRequest:
		c.serveRenewal(message, answer)
	default:
		answer(nil, vwverdict.Errorf(vwverdict.NotRun, "control does not serve message kind %d", body.MessageKind()))
	}
}

// forward sends a request to the leader, or fails it with ErrNotLeader.
func (c *core) forward(body vwmessage.Body, answer Answer, mayForward bool) {
	leader := c.knownLeader()
	if leader.Address == "" || !mayForward {
		answer(nil, c.notLeader(leader))
		return
	}
	if len(c.forwards.waiting) >= c.settings.MaxWaiting {
		answer(nil, vwverdict.Wrap(vwverdict.NotRun, vwraft.ErrBusy))
		return
	}
	fwd := forward{to: leader.Member, deadline: c.now.Add(c.settings.RequestTimeout), answer: answer, verdict: vwverdict.NotRun}
	if _, proposes := body.(*vwmessage.Propose); proposes {
		fwd.verdict = vwverdict.MayHaveRun
	}
	call := c.forwards.add(fwd)
	envelope, err := vwmessage.Seal(body, call, false)
	if err != nil {
		c.forwards.fail(call, err)
		return
	}
	c.sendPacket(leader, Packet{Envelope: &envelope})
}

func (c *core) servePropose(message *vwmessage.Propose, answer Answer) {
	command, err := vwstate.Decode(message.Command)
	if err != nil {
		answer(nil, vwverdict.Wrap(vwverdict.NotRun, err))
		return
	}
	c.proposeCommand(command, answer)
}

// proposeCommand sets the command's time from the leader's clock and appends it to the log.
func (c *core) proposeCommand(command vwstate.Command, answer Answer) {
	command.At = c.now.UnixMilli()
	data, err := vwstate.Encode(command)
	if err != nil {
		answer(nil, vwverdict.Wrap(vwverdict.NotRun, err))
		return
	}
	if len(c.proposals.waiting) >= c.settings.MaxWaiting {
		answer(nil, vwverdict.Wrap(vwverdict.NotRun, vwraft.ErrBusy))
		return
	}
	if command.ChangeRules != nil && c.awaitsVoters() {
		answer(nil, vwverdict.Errorf(vwverdict.NotRun, "control has too few voters for its first change; send it again"))
		return
	}
	index, term, err := c.node.Propose(data)
	if err != nil {
		answer(nil, vwverdict.Wrap(vwverdict.NotRun, err))
		return
	}
	c.proposals.add(index, proposal{term: term, deadline: c.now.Add(c.settings.RequestTimeout), answer: answer})
}

// serveRead answers a local query and a query for parts of the rules from this member's applied state, and any other query
// on the leader after a linearizable read.
func (c *core) serveRead(message *vwmessage.Read, answer Answer, mayForward bool) {
	var query vwstate.Query
	if _, err := query.UnmarshalMsg(message.Query); err != nil {
		answer(nil, vwverdict.Wrap(vwverdict.NotRun, err))
		return
	}
	switch {
	case len(query.Parts) > 0:
		c.serveParts(query, message, answer, mayForward)
	case query.Local && c.appliedIndex == 0:
		answer(nil, vwverdict.Errorf(vwverdict.NotRun, "the member has not joined a log yet"))
	case query.Local:
		c.answerQuery(query, answer)
	case !c.node.IsLeader():
		c.forward(message, answer, mayForward)
	default:
		c.awaitReadIndex(func(err error) {
			if err != nil {
				answer(nil, err)
				return
			}
			c.answerQuery(query, answer)
		})
	}
}

// serveParts answers a query for parts of the rules. A member that knows none of them may lag behind, and forwards the query
// to the leader. If the leader knows none, newer rules have replaced them.
func (c *core) serveParts(query vwstate.Query, message *vwmessage.Read, answer Answer, mayForward bool) {
	c.rulesParts.Update(c.state.Config())
	if !c.node.IsLeader() && !c.rulesParts.Knows(query.Parts) {
		c.forward(message, answer, mayForward)
		return
	}
	view := vwstate.View{NowMillis: c.state.NowMillis(), Parts: c.rulesParts.Read(query.Parts, query.PartBytes)}
	data, err := view.MarshalMsg(nil)
	answer(&vwmessage.View{View: data}, vwverdict.Wrap(vwverdict.NotRun, err))
}

func (c *core) answerQuery(query vwstate.Query, answer Answer) {
	view := c.state.Read(query)
	view.Members = c.memberAddresses()
	if query.Rules {
		view.Config = c.rulesWithoutRoutes(query.Held)
	}
	data, err := view.MarshalMsg(nil)
	answer(&vwmessage.View{View: data}, vwverdict.Wrap(vwverdict.NotRun, err))
}

// rulesWithoutRoutes returns the current configuration without its source and routes, and without its text unless its version
// is above held. When entries lose control, all agents ask at nearly the same time, so the text is made once for each version.
func (c *core) rulesWithoutRoutes(held vwid.ConfigVersion) *vwstate.Config {
	config := c.state.Config()
	config.Source = nil
	if config.Version <= held {
		config.Text = nil
		return &config
	}
	if c.agentRules.Version != config.Version {
		c.agentRules = vwstate.Config{Version: config.Version, Text: vwrule.RemoveRoutes(config.Text)}
	}
	config.Text = c.agentRules.Text
	return &config
}

// awaitReadIndex calls finish once the state includes everything that was committed before this call, or with an error.
func (c *core) awaitReadIndex(finish func(err error)) {
	id := c.reads.add(read{deadline: c.now.Add(c.settings.RequestTimeout), finish: finish})
	if err := c.node.Read(id); err != nil {
		delete(c.reads.waiting, id)
		finish(vwverdict.Wrap(vwverdict.NotRun, err))
	}
}
