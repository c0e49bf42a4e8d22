package config

import (
	"context"
	"time"

	"github.com/cloverwheel/cloverwheel/internal/peer"
	"github.com/cloverwheel/cloverwheel/internal/template"
)

const (
	// pullTimeout bounds the transfer of a whole configuration.
	pullTimeout = 10 * time.Second
	// pullIdle bounds the wait for each part of it.
	pullIdle = 500 * time.Millisecond
)

// partSize is the number of objects in one part of a whole configuration.
const partSize = 256

// pull brings this node to the version of the node at address, by changes where
// that node still has them all and by its whole configuration otherwise.
func (s *Service) pull(ctx context.Context, address peer.Address) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	idle := time.AfterFunc(pullIdle, cancel)
	defer idle.Stop()
	var all template.Change
	request := PullRequest{Since: s.Current().Version}
	return peer.InvokeStream(ctx, s.options.Transport, address, MethodPull, request, func(item PullItem) error {
		idle.Reset(pullIdle)
		if !item.Whole {
			s.take(item.Entries)
			return nil
		}
		all = joined(all, item.Part)
		if item.Last {
			s.takeWhole(template.Build(item.Version, all))
		}
		return nil
	})
}

func (s *Service) pullLogged(ctx context.Context, address peer.Address) {
	if err := s.pull(ctx, address); err != nil {
		s.options.Log.WithError(err).WithField("from", address).Warn("configuration not pulled")
	}
}

func (s *Service) servePull(_ context.Context, request PullRequest, send func(PullItem) error) error {
	if entries, ok := s.since(request.Since); ok {
		return sendEntries(entries, send)
	}
	return sendWhole(s.Current(), send)
}

func sendEntries(entries []Entry, send func(PullItem) error) error {
	for _, entry := range entries {
		if err := send(PullItem{Entries: []Entry{entry}}); err != nil {
			return err
		}
	}
	return nil
}

func sendWhole(configuration *template.Configuration, send func(PullItem) error) error {
	item := PullItem{Whole: true, Version: configuration.Version}
	for found := range configuration.AllTemplates() {
		item.Part.PutTemplates = append(item.Part.PutTemplates, found)
		if err := sendFull(&item, send); err != nil {
			return err
		}
	}
	for found := range configuration.AllTenants() {
		item.Part.PutTenants = append(item.Part.PutTenants, found)
		if err := sendFull(&item, send); err != nil {
			return err
		}
	}
	item.Last = true
	return send(item)
}

// sendFull sends a part that has reached its size and empties it.
func sendFull(item *PullItem, send func(PullItem) error) error {
	if len(item.Part.PutTemplates)+len(item.Part.PutTenants) < partSize {
		return nil
	}
	err := send(*item)
	item.Part = template.Change{}
	return err
}
