package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/hemlockcroft/hemlockcroft/internal/operator/fleetconfig"
)

func parseFile(name string) (*fleetconfig.Document, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	d, err := fleetconfig.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s is faulty:\n%w", name, err)
	}
	return d, nil
}

func (c *cli) configShow(ctx context.Context, _ []string) error {
	d, err := c.readDocument(ctx)
	if err != nil {
		return err
	}
	_, err = c.out.Write(d.Text())
	return err
}

func (c *cli) configCheck(_ context.Context, args []string) error {
	if _, err := parseFile(args[0]); err != nil {
		return err
	}
	c.printf("no faults")
	return nil
}

func (c *cli) configInit(ctx context.Context, args []string) error {
	file, err := parseFile(args[0])
	if err != nil {
		return err
	}
	return c.applyEdit(ctx, func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		if base != nil {
			return nil, &ConflictError{0, base.Version(), fleetconfig.Diff(file, base)}
		}
		return file, nil
	})
}

// configApply replaces the whole document if the file is based on the version in
// the store. The document that an outdated file is based on is not available, so
// the conflict lists how the store's document differs from the file.
func (c *cli) configApply(ctx context.Context, args []string) error {
	file, err := parseFile(args[0])
	if err != nil {
		return err
	}
	return c.applyEdit(ctx, requireDocument(func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		if file.Version() != base.Version() || file.Mark() != "" && file.Mark() != base.Mark() {
			return nil, &ConflictError{file.Version(), base.Version(), fleetconfig.Diff(file, base)}
		}
		return file, nil
	}))
}

func (c *cli) configSet(ctx context.Context, args []string) error {
	return c.applyEdit(ctx, requireDocument(func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		return base.WithValue(sectionHeader(args[0]), args[1], args[2])
	}))
}

func (c *cli) exceptionAdd(ctx context.Context, args []string) error {
	kind, name, err := parseException(args[0])
	if err != nil {
		return err
	}
	overrides, err := parseOverrides(args[1:])
	if err != nil {
		return err
	}
	return c.applyEdit(ctx, requireDocument(func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		return base.WithException(kind, name, c.reason, c.author, overrides)
	}))
}

func (c *cli) exceptionRemove(ctx context.Context, args []string) error {
	kind, name, err := parseException(args[0])
	if err != nil {
		return err
	}
	return c.applyEdit(ctx, requireDocument(func(base *fleetconfig.Document) (*fleetconfig.Document, error) {
		return base.WithoutException(kind, name)
	}))
}
