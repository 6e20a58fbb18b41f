package entry

import (
	"cmp"
	"slices"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/operatorapi"
	"dragonflyyard/internal/process"
	"dragonflyyard/internal/wire"
)

// serveProcesses lists this entry host and the processes connected to it.
func (p *Process) serveProcesses(ctx *fasthttp.RequestCtx) {
	list := operatorapi.ProcessList{Processes: []operatorapi.ProcessInfo{{
		Name: p.Name, Role: operatorapi.RoleEntry, Zone: p.Config.Settings.Zone, HTTPAddress: p.HTTPAddress(),
	}}}
	roles := map[wire.Role]string{
		wire.RoleEntry: operatorapi.RoleEntry, wire.RoleAgent: operatorapi.RoleAgent,
	}
	for role, name := range roles {
		for _, c := range p.Hub.Conns(role) {
			peer := c.Peer()
			list.Processes = append(list.Processes, operatorapi.ProcessInfo{
				Name: peer.Process, Role: name, Zone: peer.Zone, HTTPAddress: peer.HTTPAddress,
			})
		}
	}
	slices.SortFunc(list.Processes, func(a, b operatorapi.ProcessInfo) int { return cmp.Compare(a.Name, b.Name) })
	process.WriteJSON(ctx, fasthttp.StatusOK, list)
}
