package vwcommand

import (
	"context"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
	"vanillawind.example/vanillawind/pkg/vwgroup"
)

// ShowStatus writes how each entry of the settings fares. It fails when one cannot be asked.
func ShowStatus(ctx context.Context, output Output, settings vwclient.Settings) error {
	list := make(StatusList, len(settings.Entries))
	asking := vwgroup.Make(ctx)
	for i, address := range settings.Entries {
		asking.Run(func(ctx context.Context) { list[i] = askStatus(ctx, settings, address) })
	}
	_ = asking.Wait()
	if err := output.Write(list); err != nil {
		return trace.Wrap(err)
	}
	failed := 0
	for _, entry := range list {
		if entry.Status == nil {
			failed++
		}
	}
	if failed > 0 {
		return trace.ConnectionProblem(nil, "no answer from %d of %d addresses", failed, len(list))
	}
	return nil
}

func askStatus(ctx context.Context, settings vwclient.Settings, address string) EntryStatus {
	settings.Entries = []string{address}
	client, err := vwclient.MakeOperator(settings)
	var status *vwapi.Status
	if err == nil {
		status, err = client.Status(ctx)
	}
	if err != nil {
		return EntryStatus{Address: address, Error: Message(readError(err))}
	}
	return EntryStatus{Address: address, Status: status}
}
