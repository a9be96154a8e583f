package vwlog

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

const (
	// promptRefusal is the time within which a refusal leaves the caller time to go elsewhere.
	promptRefusal = 10 * time.Millisecond
	// uselessFactor is the number of objectives after which a result is of no use to its caller.
	uselessFactor = 3
	// lossSpan is the length of the spans of time that are counted together.
	lossSpan = 2 * time.Second
)

// loss is what became of a job.
type loss uint8

const (
	lossNone loss = iota
	lossLate
	lossUseless
	lossRefusedAtOnce
	lossRefusedLate
	lossGivenUp
	lossFailed
	lossCancelled
	lossCount
)

var lossTitles = [lossCount]string{"in time", "late", "useless", "refused at once", "refused late", "given up", "failed", "cancelled"}

// Losses shows where the work of a span of time went: how many jobs were answered in time, late, refused, given up or failed,
// by team, by cause, by entry and by time.
type Losses struct {
	Paths []string
	Out   io.Writer
	// Warnings receives what could not be read.
	Warnings io.Writer
}

// endedJob is the line of the log that reports the end of a job.
type endedJob struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Process   string    `json:"process"`
	Team      string    `json:"team"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason"`
	Took      string    `json:"took"`
	Objective string    `json:"objective"`
}

// endedJobMessage is the message of that line.
const endedJobMessage = "job has ended"

// loss returns what became of the job.
func (j *endedJob) loss() (loss, error) {
	took, err := time.ParseDuration(j.Took)
	if err != nil {
		return lossNone, trace.BadParameter("took %q is no duration", j.Took)
	}
	// Logs of earlier versions have no objective; their completed jobs count as in time.
	objective, err := time.ParseDuration(j.Objective)
	if err != nil {
		objective = took
	}
	switch j.Outcome {
	case "Completed":
		switch {
		case took <= objective:
			return lossNone, nil
		case took <= uselessFactor*objective:
			return lossLate, nil
		}
		return lossUseless, nil
	case "Refused":
		if took <= promptRefusal {
			return lossRefusedAtOnce, nil
		}
		return lossRefusedLate, nil
	case "GivenUp":
		return lossGivenUp, nil
	case "Failed":
		return lossFailed, nil
	case "Cancelled":
		return lossCancelled, nil
	}
	return lossNone, trace.BadParameter("outcome %q is not known", j.Outcome)
}

// lossTable counts jobs by a key and by what became of them.
type lossTable map[string]*[lossCount]int

func (t lossTable) add(key string, l loss) {
	if t[key] == nil {
		t[key] = &[lossCount]int{}
	}
	t[key][l]++
}

// Run reads the logs and writes the tables.
func (l *Losses) Run() error {
	var jobs []endedJob
	for _, path := range l.Paths {
		read, err := l.readFile(path)
		if err != nil {
			return trace.Wrap(err, "%s", path)
		}
		jobs = append(jobs, read...)
	}
	if len(jobs) == 0 {
		return trace.NotFound("no line tells the end of a job; give the logs of entries")
	}
	return l.write(jobs)
}

func (l *Losses) readFile(path string) ([]endedJob, error) {
	var jobs []endedJob
	err := scanFile(path, l.Warnings, func(text []byte) error {
		if !bytes.Contains(text, []byte(endedJobMessage)) {
			return nil
		}
		var job endedJob
		if err := json.Unmarshal(text, &job); err != nil {
			return err
		}
		if job.Message == endedJobMessage {
			jobs = append(jobs, job)
		}
		return nil
	})
	return jobs, err
}

func (l *Losses) write(jobs []endedJob) error {
	first := slices.MinFunc(jobs, func(a, b endedJob) int { return a.Time.Compare(b.Time) }).Time
	byTeam, byCause, byEntry, bySpan := lossTable{}, lossTable{}, lossTable{}, lossTable{}
	unread := 0
	for i := range jobs {
		job := &jobs[i]
		became, err := job.loss()
		if err != nil {
			unread++
			continue
		}
		byTeam.add(job.Team, became)
		byEntry.add(job.Process, became)
		span := job.Time.Sub(first).Truncate(lossSpan)
		bySpan.add(fmt.Sprintf("%6.0f s", span.Seconds()), became)
		if became != lossNone {
			byCause.add(cmp.Or(job.Reason, "ended after its objective"), became)
		}
	}
	if unread > 0 {
		fmt.Fprintf(l.Warnings, "%d jobs have an outcome or a time that cannot be read\n", unread)
	}
	out := tabwriter.NewWriter(l.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, table := range []struct {
		title string
		rows  lossTable
	}{{"team", byTeam}, {"cause", byCause}, {"entry", byEntry}, {"from", bySpan}} {
		table.rows.write(out, table.title)
	}
	return trace.ConvertSystemError(out.Flush())
}

func (t lossTable) write(out io.Writer, title string) {
	_, _ = fmt.Fprintf(out, "%s\t%s\t\n", title, strings.Join(lossTitles[:], "\t"))
	for _, key := range slices.Sorted(maps.Keys(t)) {
		_, _ = fmt.Fprint(out, key, "\t")
		for _, count := range t[key] {
			_, _ = fmt.Fprint(out, count, "\t")
		}
		_, _ = fmt.Fprintln(out)
	}
	_, _ = fmt.Fprintln(out)
}
