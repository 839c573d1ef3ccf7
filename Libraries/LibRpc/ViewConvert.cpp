#include <LibControl/WireTypes.h>
#include <LibRpc/Convert.h>

#include <algorithm>

namespace Rpc {

namespace {

    using Control::DecodeErrorKind;
    using Control::Wire::FieldReader;

    void writeSlots(
        Wire::ViewSlots::Builder builder, Core::PoolName const& pool, std::span<Routing::SlotAssignment const> slots)
    {
        builder.setPool(pool.value);
        auto phases = builder.initPhases(static_cast<unsigned>(slots.size()));
        auto epochs = builder.initEpochs(static_cast<unsigned>(slots.size()));
        auto servers = builder.initServers(static_cast<unsigned>(slots.size()));
        for (unsigned index = 0; index < slots.size(); ++index) {
            phases[index] = static_cast<kj::byte>(slots[index].phase);
            epochs.set(index, slots[index].epoch.value);
            servers.set(index, slots[index].server);
        }
    }

    std::vector<Routing::SlotAssignment> readSlots(
        Wire::ViewSlots::Reader reader, std::size_t serverCount, FieldReader& fields)
    {
        auto const phases = reader.getPhases();
        auto const epochs = reader.getEpochs();
        auto const servers = reader.getServers();
        std::vector<Routing::SlotAssignment> slots;
        if (phases.size() != epochs.size() || phases.size() != servers.size()
            || phases.size() > Routing::maxSlotCount) {
            fields.fail(DecodeErrorKind::ValueOutOfRange);
            return slots;
        }
        slots.reserve(phases.size());
        for (unsigned index = 0; index < phases.size(); ++index) {
            auto const phase = fields.enumeration(phases[index], Routing::SlotPhase::Releasing);
            if (phase != Routing::SlotPhase::Unassigned && servers[index] >= serverCount)
                fields.fail(DecodeErrorKind::ValueOutOfRange);
            slots.push_back({ phase, { epochs[index] }, servers[index] });
        }
        return slots;
    }

    Routing::BackendServer readServer(Wire::ViewServer::Reader reader, FieldReader& fields)
    {
        auto server = Control::Wire::readServer(reader.getServer(), fields);
        server.state = fields.enumeration(reader.getState(), Routing::ServerState::OutOfService);
        server.coldSince = { reader.getColdSince() };
        return server;
    }

    std::shared_ptr<Routing::RoutingTable const> readTable(Wire::View::Reader reader, FieldReader& fields)
    {
        auto tables = Control::Wire::readTables(reader.getTables(), fields);
        auto table = Routing::RoutingTable::build(std::move(tables.pools), std::move(tables.routes));
        if (table.isError()) {
            fields.fail(DecodeErrorKind::Inconsistent);
            return nullptr;
        }
        return std::make_shared<Routing::RoutingTable const>(std::move(table).value());
    }

} // namespace

Core::Digest readFingerprint(Control::Wire::Digest::Reader reader) { return Control::Wire::readDigest(reader); }
void writeFingerprint(Control::Wire::Digest::Builder builder, Core::Digest const& digest)
{
    Control::Wire::writeDigest(builder, digest);
}

void writeView(Wire::View::Builder builder, Routing::View const& view)
{
    builder.setVersion(view.version.value);
    builder.setRevision(view.revision.value);
    if (view.table)
        Control::Wire::writeTables(builder.initTables(), view.table->pools(), view.table->routes());

    auto servers = builder.initServers(static_cast<unsigned>(view.servers.size()));
    for (unsigned index = 0; index < view.servers.size(); ++index) {
        Control::Wire::writeServer(servers[index].initServer(), view.servers[index]);
        servers[index].setState(static_cast<std::uint8_t>(view.servers[index].state));
        servers[index].setColdSince(view.servers[index].coldSince.value);
    }
    auto slots = builder.initSlots(static_cast<unsigned>(view.slots.size()));
    unsigned position = 0;
    for (auto const& [pool, assignments] : view.slots)
        writeSlots(slots[position++], pool, assignments);
    auto hosts = builder.initEntryHosts(static_cast<unsigned>(view.entryHosts.size()));
    for (unsigned index = 0; index < view.entryHosts.size(); ++index)
        Control::Wire::writeEntryHost(hosts[index], view.entryHosts[index]);
    auto quarantine = builder.initQuarantine(static_cast<unsigned>(view.quarantine.size()));
    for (unsigned index = 0; index < view.quarantine.size(); ++index) {
        writeFingerprint(quarantine[index].initFingerprint(), view.quarantine[index].fingerprint);
        quarantine[index].setRoute(view.quarantine[index].route.value);
    }
}

Decoded<std::shared_ptr<Routing::View const>> readView(Wire::View::Reader reader)
{
    FieldReader fields;
    Routing::View view;
    view.version = { reader.getVersion() };
    view.revision = { reader.getRevision() };
    view.table = readTable(reader, fields);
    for (auto const server : reader.getServers())
        view.servers.push_back(readServer(server, fields));
    if (!std::ranges::is_sorted(view.servers, {}, &Routing::BackendServer::name))
        fields.fail(DecodeErrorKind::Inconsistent);
    for (auto const slots : reader.getSlots())
        view.slots.emplace(
            Core::PoolName { fields.text(slots.getPool()) }, readSlots(slots, view.servers.size(), fields));
    for (auto const host : reader.getEntryHosts())
        view.entryHosts.push_back(Control::Wire::readEntryHost(host, fields));
    for (auto const request : reader.getQuarantine())
        view.quarantine.push_back({ readFingerprint(request.getFingerprint()), { fields.text(request.getRoute()) } });
    if (fields.error())
        return InvalidMessage { fields.error()->kind };
    return std::make_shared<Routing::View const>(std::move(view));
}

} // namespace Rpc
