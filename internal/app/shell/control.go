package shell

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/state/model"
)

// controlQueries are the queries on the control plane and its records.
var controlQueries = []query{
	{
		name: "epochs", help: "the control plane: epoch, primary, backup, as each control node knows them",
		columns: []string{"node", "epoch", "primary", "backup", "holds_primacy", "state"},
		run:     (*Shell).epochs,
	},
	{
		name: "duties", help: "duties and who holds them",
		columns: []string{"duty", "held_by"},
		run:     (*Shell).singletons,
	},
	{
		name: "leases", help: "leases given out by the control primary",
		columns: []string{"node", "has_taken_up", "shows"},
		run:     (*Shell).leases,
	},
	{
		name: "writers", help: "the writer role of each database",
		columns: []string{"database", "term", "primary", "phase", "commits_wait_for", "may_be_promoted", "why"},
		run:     (*Shell).writers,
	},
	{
		name: "why", maxArgs: 1,
		help:    "why SUBJECT: what the fleet did about a database, 'bindings' or 'control', with the evidence",
		columns: []string{"at", "subject", "what", "evidence"},
		run:     (*Shell).history,
	},
}

const (
	// timeOfDayLayout is the layout in which the times of audit entries are shown.
	timeOfDayLayout = "15:04:05.000"
	// databaseSubjectPrefix is the prefix of the subject of audit entries about a
	// database. The name of the database follows.
	databaseSubjectPrefix = "database "
)

type epochRow struct {
	Backup  string `json:"backup"`
	Epoch   int    `json:"epoch"`
	Primacy bool   `json:"holds_primacy"`
	Node    string `json:"node"`
	Primary string `json:"primary"`
	State   string `json:"state"`
}

func (r epochRow) cells() []any {
	return []any{r.Node, r.Epoch, r.Primary, r.Backup, r.Primacy, r.State}
}

func (s *Shell) epochs([]string) (result, error) {
	return s.collect(model.KindControl, admin.PathFleet, func(node nodeRef, value *fastjson.Value) []row {
		epoch := value.Get("epoch")
		return []row{epochRow{
			Backup: stringAt(epoch, "backup"), Epoch: epoch.GetInt("epoch"), Primacy: value.GetBool("primacy"), Node: node.name,
			Primary: stringAt(epoch, "primary"), State: formatVersion(value.Get("stamp")),
		}}
	})
}

type singletonRow struct {
	Role   string `json:"duty"`
	Leader string `json:"held_by"`
}

func (r singletonRow) cells() []any { return []any{r.Role, r.Leader} }

func (s *Shell) singletons([]string) (result, error) {
	return s.collect(model.KindControl, admin.PathFleet, func(node nodeRef, value *fastjson.Value) []row {
		var rows []row
		for _, role := range value.GetArray("duties") {
			if role.GetBool("is_held") {
				rows = append(rows, singletonRow{Role: stringAt(role, "duty"), Leader: node.name})
			}
		}
		return rows
	})
}

type leaseRow struct {
	Version        string `json:"has_taken_up"`
	Node           string `json:"node"`
	ActiveSequence int    `json:"shows"`
}

func (r leaseRow) cells() []any { return []any{r.Node, r.Version, r.ActiveSequence} }

func (s *Shell) leases([]string) (result, error) {
	res := result{}
	value, err := s.fetchFromPrimary()
	if err != nil {
		return res, err
	}
	var leases []leaseRow
	for _, lease := range value.GetArray("leases") {
		leases = append(leases, leaseRow{Version: formatVersion(lease), Node: stringAt(lease, "node"), ActiveSequence: lease.GetInt("shows")})
	}
	res.rows = sortedRows(leases, func(r leaseRow) string { return r.Node })
	return res, nil
}

type writerRow struct {
	RequiredReplicas string `json:"commits_wait_for"`
	Database         string `json:"database"`
	Candidates       string `json:"may_be_promoted"`
	Phase            string `json:"phase"`
	Primary          string `json:"primary"`
	Term             int    `json:"term"`
	Reason           string `json:"why"`
}

func (r writerRow) cells() []any {
	return []any{r.Database, r.Term, r.Primary, r.Phase, r.RequiredReplicas, r.Candidates, r.Reason}
}

func (s *Shell) writers([]string) (result, error) {
	res := result{}
	value, err := s.fetchFromPrimary()
	if err != nil {
		return res, err
	}
	for _, writer := range value.GetArray("writers") {
		res.rows = append(res.rows, writerRow{
			RequiredReplicas: joinedKeys(writer, "Required"), Database: stringAt(writer, "Database"), Candidates: joinedKeys(writer, "Candidates"),
			Phase: stringAt(writer, "Phase"), Primary: stringAt(writer, "Primary"), Term: writer.GetInt("Term"), Reason: stringAt(writer, "Why"),
		})
	}
	return res, nil
}

type auditRow struct {
	At       string `json:"at"`
	Evidence string `json:"evidence"`
	Subject  string `json:"subject"`
	Action   string `json:"what"`
}

func (r auditRow) cells() []any { return []any{r.At, r.Subject, r.Action, r.Evidence} }

// history returns the audit log, or its entries about a subject.
func (s *Shell) history(args []string) (result, error) {
	res := result{}
	value, err := s.fetchFromPrimary()
	if err != nil {
		return res, err
	}
	for _, entry := range value.GetArray("entries") {
		subject := stringAt(entry, "subject")
		if len(args) > 0 && subject != args[0] && subject != databaseSubjectPrefix+args[0] {
			continue
		}
		res.rows = append(res.rows, auditRow{
			At:       time.Unix(0, entry.GetInt64("at")).UTC().Format(timeOfDayLayout),
			Evidence: stringAt(entry, "evidence"), Subject: subject, Action: stringAt(entry, "what"),
		})
	}
	if len(args) > 0 && len(res.rows) == 0 {
		return res, badQuery("nothing is on record about %q", args[0])
	}
	return res, nil
}

// formatVersion formats a version of the control state as epoch/sequence.
func formatVersion(value *fastjson.Value) string {
	return fmt.Sprintf("%d/%d", value.GetInt("epoch"), value.GetInt("sequence"))
}
