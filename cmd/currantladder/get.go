package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"

	"currantladder.example/currantladder/internal/process/operatorapi"
	"currantladder.example/currantladder/internal/version/object"
)

// newGetCommand returns the command that prints objects.
func newGetCommand() command {
	sub := newOperatorSubcommand("get", "Print the objects of a kind, or one object.")
	c := &client{}
	c.addFlags(sub)
	var kind, name string
	var asJSON bool
	var revision int64
	sub.AddPositionalValue(&kind, "KIND", 1, true, "Kind of the objects, such as Rank or Node.")
	sub.AddPositionalValue(&name, "NAME", 2, false, "Name of one object, which is printed as JSON.")
	sub.Bool(&asJSON, "", "json", "Print JSON instead of a table.")
	sub.Int64(&revision, "", "revision", "Read after the node has applied this revision or a later one.")
	return command{sub: sub, run: func(ctx context.Context) error {
		query := url.Values{}
		if revision != 0 {
			query.Set("revision", strconv.FormatInt(revision, 10))
		}
		if name != "" {
			return getOne(ctx, c, kind, name, query)
		}
		return getList(ctx, c, kind, query, asJSON)
	}}
}

func getOne(ctx context.Context, c *client, kind, name string, query url.Values) error {
	var o object.Object
	if err := c.get(ctx, objectPath(kind, name), query, &o); err != nil {
		return err
	}
	return printJSON(stdout, &o)
}

func getList(ctx context.Context, c *client, kind string, query url.Values, asJSON bool) error {
	var list operatorapi.ObjectList
	if err := c.get(ctx, "/api/"+url.PathEscape(kind), query, &list); err != nil {
		return err
	}
	if asJSON {
		return printJSON(stdout, list)
	}
	return printTable(stdout, object.Kind(kind), list.Items)
}

// Layout of printed tables, in characters.
const (
	tableMinWidth = 0
	tableTabWidth = 8
	tablePadding  = 2
)

func printTable(w io.Writer, kind object.Kind, items []*object.Object) error {
	table := tabwriter.NewWriter(w, tableMinWidth, tableTabWidth, tablePadding, ' ', 0)
	switch kind {
	case object.KindNode:
		printNodes(table, items)
	case object.KindReplicaGroup:
		printGroups(table, items)
	default:
		printObjects(table, items)
	}
	return table.Flush()
}

func printNodes(w io.Writer, items []*object.Object) {
	fmt.Fprintln(w, "NAME\tREGION\tFAILURE DOMAIN\tPEER ADDRESS\tLIVE\tREVISION")
	for _, o := range items {
		if o.Status == nil || o.Status.Node == nil {
			continue
		}
		n := o.Status.Node
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d\n", o.Metadata.Name, n.Region, n.FailureDomain, n.PeerAddress, n.Live, n.AppliedRevision)
	}
}

func printGroups(w io.Writer, items []*object.Object) {
	fmt.Fprintln(w, "NAME\tVERSION\tGENERATION\tIN FORCE\tPHASE\tHOSTS\tMESSAGE")
	for _, o := range items {
		serving := o.Status.Condition(object.ConditionServing)
		if serving == nil {
			serving = &object.Condition{}
		}
		hosts := 0
		if o.Status != nil && o.Status.Placement != nil {
			hosts = len(o.Status.Placement.Members)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\t%s\t%d\t%s\n", o.Metadata.Name, o.Metadata.ResourceVersion, o.Metadata.Generation, isInForce(o), serving.Reason, hosts, serving.Message)
	}
}

func printObjects(w io.Writer, items []*object.Object) {
	fmt.Fprintln(w, "NAME\tVERSION\tGENERATION\tIN FORCE")
	for _, o := range items {
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\n", o.Metadata.Name, o.Metadata.ResourceVersion, o.Metadata.Generation, isInForce(o))
	}
}

func isInForce(o *object.Object) bool {
	condition := o.Status.Condition(object.ConditionInForce)
	return condition != nil && condition.Status
}
