package command

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
)

func (s *session) addStatus(a *kingpin.Application) {
	c := a.Command("status", "Show the state of the fleet as gathered by one daemon.")
	c.Action(func(*kingpin.ParseContext) error {
		m, err := operatorCall(s, s.operatorService().GetStatus, &operatorv1.GetStatusRequest{})
		if err != nil {
			return err
		}
		if s.output == outputJSON {
			b, err := protojson.Marshal(m)
			if err != nil {
				return errors.Wrap(err, "output")
			}
			fmt.Fprintln(s.Stdout, string(b))
			return nil
		}
		printStatus(s.Stdout, m)
		return nil
	})
}

func printStatus(out io.Writer, m *operatorv1.GetStatusResponse) {
	fmt.Fprintf(out, "revision %d, view confirmed: %v, store reachable: %v\n",
		m.GetRevision(), m.GetViewConfirmed(), m.GetStoreReachable())
	table(out, func(w io.Writer) {
		row(w, "\nDAEMON", "REGION", "FAILURE DOMAIN", "REVISION", "HEARD AT")
		for _, x := range m.GetMembers() {
			heard := "never"
			if x.GetHeardAt() != nil {
				heard = x.GetHeardAt().AsTime().Format(time.RFC3339)
			}
			row(w, x.GetAddress(), x.GetRegion(), x.GetFailureDomain(), x.GetRevision(), heard)
		}
	})
	table(out, func(w io.Writer) {
		row(w, "\nBACKEND SERVER", "POOL", "FAILURE DOMAIN", "KIND", "STATE", "WEIGHTS", "RUNNING")
		for _, x := range m.GetServers() {
			row(w, x.GetServerId(), x.GetPool(), x.GetFailureDomain(), x.GetKind(), x.GetState(), x.GetWeightVersion(), x.GetRunning())
		}
	})
	table(out, func(w io.Writer) {
		row(w, "\nDUTY", "REGION", "HOLDER", "EPOCH")
		for _, x := range m.GetLeases() {
			row(w, x.GetDuty(), x.GetRegion(), x.GetHolder(), x.GetEpoch())
		}
	})
	table(out, func(w io.Writer) {
		row(w, "\nWORKSPACE", "RUNNING", "WAITING")
		for _, x := range m.GetWorkspaces() {
			row(w, x.GetName(), x.GetRunning(), x.GetWaiting())
		}
	})
}
