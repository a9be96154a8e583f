package vwcontrol

import (
	"time"

	"vanillawind.example/vanillawind/internal/connection/vwmessage"
	"vanillawind.example/vanillawind/pkg/vwid"
)

const (
	// rotationDelay is how long an entry must have reported that it takes requests before it counts as in rotation:
	// load balancers poll the readiness about once a second.
	rotationDelay = time.Second
	// rotationValidity is how long a report counts: three renewals of an entry.
	rotationValidity = 1500 * time.Millisecond
	// rotationCollection is how long a new leader collects reports before it tells a rotation, so that each entry has
	// reported, and for longer than rotationDelay.
	rotationCollection = 1500 * time.Millisecond
)

// rotationReports holds which entries take requests, by their lease requests. It is held in memory by the leader only and
// is lost with it.
type rotationReports struct {
	collectingSince time.Time
	byProcess       map[vwid.Process]rotationReport
}

// rotationReport is what an entry has reported.
type rotationReport struct {
	dataCentre vwid.DataCentre
	// since is when the first of the unbroken reports came, and last when the latest did.
	since time.Time
	last  time.Time
}

// serve records the report of an entry and tells it the rotation. An entry that starts gets it before it takes requests, so that
// it does not take itself for the only one and its first callers for those of others.
func (r *rotationReports) serve(now time.Time, entry *vwmessage.EntryAddress, inRotation bool, reply *vwmessage.LeaseReply) {
	r.record(now, entry, inRotation)
	r.write(now, entry, reply)
}

// reset forgets all reports.
func (r *rotationReports) reset(now time.Time) {
	r.collectingSince = now
	r.byProcess = map[vwid.Process]rotationReport{}
}

// record records whether an entry takes requests. A restarted process continues as the same entry.
func (r *rotationReports) record(now time.Time, entry *vwmessage.EntryAddress, inRotation bool) {
	if !inRotation {
		delete(r.byProcess, entry.Process)
		return
	}
	report, known := r.byProcess[entry.Process]
	if !known || now.Sub(report.last) > rotationValidity {
		report.since = now
	}
	report.last, report.dataCentre = now, entry.DataCentre
	r.byProcess[entry.Process] = report
}

// write puts the rotation as an entry sees it into reply, if it is known. An entry counts itself.
func (r *rotationReports) write(now time.Time, entry *vwmessage.EntryAddress, reply *vwmessage.LeaseReply) {
	if now.Sub(r.collectingSince) < rotationCollection {
		return
	}
	near, dataCentres := 1, map[vwid.DataCentre]bool{entry.DataCentre: true}
	for process, report := range r.byProcess {
		if now.Sub(report.last) > rotationValidity {
			delete(r.byProcess, process)
			continue
		}
		if process == entry.Process || now.Sub(report.since) < rotationDelay {
			continue
		}
		dataCentres[report.dataCentre] = true
		if report.dataCentre == entry.DataCentre {
			near++
		}
	}
	reply.EntriesNear, reply.EntryDataCentres = near, len(dataCentres)
}
