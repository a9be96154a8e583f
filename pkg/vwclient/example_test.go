package vwclient_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"vanillawind.example/vanillawind/pkg/vwapi"
	"vanillawind.example/vanillawind/pkg/vwclient"
)

func ExampleClient_Submit() {
	entries := &script{steps: []step{fine(whole)}}
	client, err := vwclient.Make(vwclient.Settings{Entries: []string{"http://10.0.0.1:8080", "http://10.0.0.2:8080"}, Transport: entries})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := client.Submit(ctx, vwapi.Submission{
		ID: id, Service: "pedidos", Team: "Stands",
		Tasks: []vwapi.Task{{ID: "a", Payload: json.RawMessage(`{"Kit":7}`)}, {ID: "b", Payload: json.RawMessage(`{"Kit":9}`)}},
	})
	if err != nil {
		panic(err)
	}
	for _, result := range answer.Results {
		fmt.Println(result.ID, string(result.Result))
	}
	// Output:
	// a 1
	// b 2
}

func ExampleIsNotRun() {
	entries := &script{steps: []step{problem(http.StatusUnprocessableEntity, "NotRun", vwapi.CodeNeverRuns)}}
	client, err := vwclient.Make(vwclient.Settings{Entries: []string{"http://10.0.0.1:8080"}, Transport: entries})
	if err != nil {
		panic(err)
	}
	_, err = client.Do(context.Background(), vwapi.Request{Service: "pedido", Team: "Stands", Payload: json.RawMessage(`1`)})
	fmt.Println(vwclient.IsNotRun(err), vwclient.HasCode(err, vwapi.CodeNeverRuns))
	// Output: true true
}

func ExampleOperator_TakeOut() {
	entries := &script{steps: []step{fine(`{"Version":12}`)}}
	operator, err := vwclient.MakeOperator(vwclient.Settings{Entries: []string{"http://10.0.0.1:8081"}, Transport: entries})
	if err != nil {
		panic(err)
	}
	changed, err := operator.TakeOut(context.Background(), "Guayaquil", vwapi.DataCentreOrder{By: "Ana, platform"})
	if err != nil {
		panic(err)
	}
	fmt.Println(entries.paths[0], "version", changed.Version)
	// Output: POST /DataCentres/Guayaquil/Out version 12
}
