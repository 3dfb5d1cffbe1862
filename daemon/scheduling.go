package daemon

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingshunt/redwingshunt"
	"github.com/redwingshunt/redwingshunt/queuer"
	"github.com/redwingshunt/redwingshunt/wire"
)

// scheduling joins the scheduler of this instance with the announcements that
// other instances received and passed on.
type scheduling struct {
	*queuer.Queuer
	members redwingshunt.Members
	link    redwingshunt.Link
}

func newScheduling(members redwingshunt.Members, link redwingshunt.Link) *scheduling {
	s := &scheduling{Queuer: queuer.New(time.Now), members: members, link: link}
	link.Handle(redwingshunt.KindAnnounce, s.receive)
	return s
}

// Announce adds an upstream here and passes it on.
func (s *scheduling) Announce(u redwingshunt.Upstream, load redwingshunt.LoadReport, ttl time.Duration) {
	s.Queuer.Announce(u, load, ttl)
	s.spread(&wire.Announcement{
		Id: string(u.ID), Service: string(u.Service), Region: string(u.Region), Zone: string(u.Zone),
		Address: u.Address.String(), Slots: uint32(u.Slots), Version: u.Version,
		Running: uint32(load.Running), Waiting: uint32(load.Waiting), TtlMs: uint32(ttl.Milliseconds()),
	})
}

// Leave stops new work for an upstream here and everywhere.
func (s *scheduling) Leave(key redwingshunt.UpstreamKey) {
	s.Queuer.Leave(key)
	s.spread(&wire.Announcement{Id: string(key.ID), Service: string(key.Service)})
}

func (s *scheduling) spread(a *wire.Announcement) {
	payload, err := proto.Marshal(a)
	if err != nil {
		return // a name that is no UTF-8 stays on this instance
	}
	self := s.members.Self().ID
	for _, instance := range s.members.Live() {
		if instance.ID != self {
			s.link.Send(instance.ID, redwingshunt.Message{Kind: redwingshunt.KindAnnounce, Payload: payload})
		}
	}
}

func (s *scheduling) receive(_ redwingshunt.InstanceID, payload []byte) {
	a := new(wire.Announcement)
	if proto.Unmarshal(payload, a) != nil {
		return
	}
	u := redwingshunt.Upstream{
		ID: redwingshunt.UpstreamID(a.Id), Service: redwingshunt.ServiceID(a.Service),
		Region: redwingshunt.RegionID(a.Region), Zone: redwingshunt.ZoneID(a.Zone),
		Slots: int(a.Slots), Version: a.Version,
	}
	if a.TtlMs == 0 {
		s.Queuer.Leave(u.Key())
		return
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return
	}
	u.Address = address
	load := redwingshunt.LoadReport{Running: int(a.Running), Waiting: int(a.Waiting), At: time.Now()}
	s.Queuer.Announce(u, load, time.Duration(a.TtlMs)*time.Millisecond)
}
