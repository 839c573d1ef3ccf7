#include <LibControl/SnapshotCodec.h>

#include <algorithm>

namespace Control {

namespace {

    constexpr std::uint32_t formatVersion = 1;

    unsigned listSize(auto const& list) { return static_cast<unsigned>(list.size()); }

    void writeOutcome(Wire::KnownEdit::Outcome::Builder builder, EditOutcome const& outcome)
    {
        if (auto const* accepted = std::get_if<EditAccepted>(&outcome)) {
            auto group = builder.initAccepted();
            group.setRevision(accepted->revision.value);
            group.setVersion(accepted->version.value);
        } else if (auto const* conflict = std::get_if<EditConflict>(&outcome)) {
            builder.setConflict(conflict->currentRevision.value);
        } else if (auto const* invalid = std::get_if<EditInvalid>(&outcome)) {
            auto problems = builder.initInvalid(listSize(invalid->problems));
            for (unsigned i = 0; i < problems.size(); ++i) {
                problems[i].setKind(static_cast<std::uint8_t>(invalid->problems[i].kind));
                problems[i].setSubject(Wire::toText(invalid->problems[i].subject));
                problems[i].setOther(Wire::toText(invalid->problems[i].other));
            }
        }
    }

    EditOutcome readOutcome(Wire::KnownEdit::Outcome::Reader reader, Wire::FieldReader& fields)
    {
        switch (reader.which()) {
        case Wire::KnownEdit::Outcome::ACCEPTED:
            return EditAccepted { { reader.getAccepted().getRevision() }, { reader.getAccepted().getVersion() } };
        case Wire::KnownEdit::Outcome::CONFLICT:
            return EditConflict { { reader.getConflict() } };
        case Wire::KnownEdit::Outcome::INVALID: {
            EditInvalid invalid;
            for (auto const problem : reader.getInvalid())
                invalid.problems.push_back({ fields.enumeration(problem.getKind(), EditProblemKind::TooManyRoutes),
                    fields.text(problem.getSubject()), fields.text(problem.getOther()) });
            return invalid;
        }
        }
        fields.fail(DecodeErrorKind::UnknownVariant);
        return EditIdReused {};
    }

    void writeTable(Wire::SlotTable::Builder builder, Core::PoolName const& pool, SlotTable const& table)
    {
        builder.setPool(Wire::toText(pool.value));
        Wire::NameTable names;
        names.indexOf("");
        auto records = builder.initRecords(listSize(table.records()));
        for (unsigned i = 0; i < records.size(); ++i) {
            auto const& record = table.records()[i];
            records[i].setPhase(static_cast<std::uint8_t>(record.phase));
            records[i].setOwnerChecksFencing(record.ownerChecksFencing);
            records[i].setOwner(names.indexOf(record.owner.value));
            records[i].setSuccessor(names.indexOf(record.successor.value));
            records[i].setEpoch(record.epoch.value);
            records[i].setOwnerIncarnation(record.ownerIncarnation.value);
            records[i].setChangedAt(record.changedAt.value);
        }
        Wire::writeNames(builder.initNames(listSize(names.names())), names.names());
    }

    SlotTable readTable(Wire::SlotTable::Reader reader, Wire::FieldReader& fields)
    {
        auto const names = Wire::readNames(reader.getNames(), fields);
        std::vector<SlotRecord> records;
        records.reserve(reader.getRecords().size());
        for (auto const record : reader.getRecords()) {
            records.push_back({ fields.enumeration(record.getPhase(), Routing::SlotPhase::Releasing),
                { record.getEpoch() }, { Wire::nameAt(names, record.getOwner(), fields) },
                { record.getOwnerIncarnation() }, record.getOwnerChecksFencing(),
                { Wire::nameAt(names, record.getSuccessor(), fields) }, { record.getChangedAt() } });
        }
        return SlotTable::fromRecords(std::move(records));
    }

} // namespace

Bytes State::snapshot() const { return SnapshotCodec::encode(*this); }

Core::Result<Core::Void, DecodeError> State::restore(std::span<std::byte const> bytes)
{
    State restored(ledger_.limits(), edits_.limits());
    TRY(SnapshotCodec::decode(bytes, restored));
    *this = std::move(restored);
    return Core::Void {};
}

Bytes SnapshotCodec::encode(State const& state)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<Wire::Snapshot>();
    root.setFormatVersion(formatVersion);
    root.setAppliedIndex(state.appliedIndex_);
    root.setViewVersion(state.viewVersion_.value);
    root.setClockNanoseconds(state.clock_.count());
    root.setEpochFloor(state.epochFloor_.value);
    writeEdits(root, state);
    writeOrders(root, state);
    writeServers(root, state);
    writeSlots(root, state);
    writeHostsDomainsAndQuarantine(root, state);
    return Wire::toBytes(message);
}

void SnapshotCodec::writeEdits(Wire::Snapshot::Builder root, State const& state)
{
    auto const content = state.edits_.content();
    root.setRevision(content.revision.value);
    Wire::writeTables(root.initTables(), content.table->pools(), content.table->routes());
    auto history = root.initHistory(listSize(content.history));
    for (unsigned i = 0; i < history.size(); ++i) {
        auto const& entry = content.history[i];
        history[i].setRevision(entry.revision.value);
        history[i].setId(Wire::toText(entry.id.value));
        history[i].setAuthor(Wire::toText(entry.author));
        history[i].setWallClockMilliseconds(entry.wallClockMilliseconds);
        history[i].setPoolsAfter(entry.poolsAfter);
        history[i].setRoutesAfter(entry.routesAfter);
    }
    auto known = root.initKnownEdits(listSize(content.known));
    for (unsigned i = 0; i < known.size(); ++i) {
        auto const& [id, edit] = content.known[i];
        known[i].setId(Wire::toText(id.value));
        Wire::writeDigest(known[i].initContent(), edit.content);
        known[i].setRecordedAtNanoseconds(edit.recordedAt.count());
        writeOutcome(known[i].initOutcome(), edit.outcome);
    }
}

void SnapshotCodec::writeOrders(Wire::Snapshot::Builder root, State const& state)
{
    auto orders = root.initOrders(static_cast<unsigned>(state.ledger_.size()));
    unsigned index = 0;
    state.ledger_.forEach([&](Control::OrderKey const& key, OrderRecord const& record) {
        auto order = orders[index++];
        Wire::writeOrderKey(order.initKey(), key);
        Wire::writeDigest(order.initFingerprint(), record.fingerprint);
        Wire::writeRequestId(order.initRequestId(), record.requestId);
        order.setHost(Wire::toText(record.host.value));
        order.setIncarnation(record.incarnation.value);
        order.setPhase(static_cast<std::uint8_t>(record.phase));
        order.setRecordedAtNanoseconds(record.recordedAt.count());
        order.setHasAnswer(record.answer.has_value());
        if (record.answer)
            Wire::writeAnswer(order.initAnswer(), *record.answer);
    });
}

void SnapshotCodec::writeServers(Wire::Snapshot::Builder root, State const& state)
{
    auto servers = root.initServers(listSize(state.servers_));
    unsigned index = 0;
    for (auto const& [name, record] : state.servers_) {
        auto builder = servers[index++];
        Wire::writeServer(builder.initServer(), record.server);
        builder.setLost(record.lost);
        builder.setDrainedByOperator(record.drainedByOperator);
        builder.setDrainedByAnnouncement(record.drainedByAnnouncement);
        builder.setReportedCold(record.reportedCold);
        builder.setLostAtNanoseconds(record.lostAt.count());
        builder.setColdSince(record.server.coldSince.value);
    }
}

void SnapshotCodec::writeSlots(Wire::Snapshot::Builder root, State const& state)
{
    auto tables = root.initSlotTables(listSize(state.slots_));
    unsigned index = 0;
    for (auto const& [pool, table] : state.slots_)
        writeTable(tables[index++], pool, table);
}

void SnapshotCodec::writeHostsDomainsAndQuarantine(Wire::Snapshot::Builder root, State const& state)
{
    auto hosts = root.initEntryHosts(listSize(state.entryHosts_));
    unsigned index = 0;
    for (auto const& [name, host] : state.entryHosts_)
        Wire::writeEntryHost(hosts[index++], host);
    auto domains = root.initDrainedDomains(listSize(state.drainedDomains_));
    index = 0;
    for (auto const& domain : state.drainedDomains_)
        domains.set(index++, Wire::toText(domain.value));
    auto quarantine = root.initQuarantine(listSize(state.quarantine_));
    index = 0;
    for (auto const& [fingerprint, entry] : state.quarantine_) {
        auto builder = quarantine[index++];
        Wire::writeDigest(builder.initFingerprint(), fingerprint);
        builder.setRoute(Wire::toText(entry.route.value));
        builder.setAddedAtNanoseconds(entry.addedAt.count());
    }
}

Core::Result<Core::Void, DecodeError> SnapshotCodec::decode(std::span<std::byte const> bytes, State& into)
{
    auto const words = Wire::toWords(bytes, maxSnapshotBytes);
    if (!words)
        return DecodeError { DecodeErrorKind::InvalidLength };
    try {
        capnp::FlatArrayMessageReader message(*words, Wire::readerOptions(words->size()));
        auto const root = message.getRoot<Wire::Snapshot>();
        if (root.getFormatVersion() != formatVersion)
            return DecodeError { DecodeErrorKind::UnsupportedVersion };
        Wire::FieldReader fields;
        into.appliedIndex_ = root.getAppliedIndex();
        into.viewVersion_ = { root.getViewVersion() };
        into.clock_ = Core::Duration(root.getClockNanoseconds());
        into.epochFloor_ = { root.getEpochFloor() };
        readEdits(root, into, fields);
        readOrders(root, into, fields);
        readServers(root, into, fields);
        readSlots(root, into, fields);
        readHostsDomainsAndQuarantine(root, into, fields);
        countOwnedSlots(into, fields);
        if (fields.error())
            return *fields.error();
        return Core::Void {};
    } catch (kj::Exception const&) {
        return DecodeError { DecodeErrorKind::Malformed };
    }
}

void SnapshotCodec::readEdits(Wire::Snapshot::Reader root, State& state, Wire::FieldReader& fields)
{
    EditLog::Content content;
    content.revision = { root.getRevision() };
    auto tables = Wire::readTables(root.getTables(), fields);
    auto built = Routing::RoutingTable::build(std::move(tables.pools), std::move(tables.routes));
    if (built.isError()) {
        fields.fail(DecodeErrorKind::Inconsistent);
        return;
    }
    content.table = std::make_shared<Routing::RoutingTable const>(std::move(built).value());
    for (auto const entry : root.getHistory())
        content.history.push_back(
            { { entry.getRevision() }, { fields.text(entry.getId()) }, fields.text(entry.getAuthor()),
                entry.getWallClockMilliseconds(), entry.getPoolsAfter(), entry.getRoutesAfter() });
    for (auto const known : root.getKnownEdits())
        content.known.emplace_back(Core::EditId { fields.text(known.getId()) },
            KnownEdit { Wire::readDigest(known.getContent()), readOutcome(known.getOutcome(), fields),
                Core::Duration(known.getRecordedAtNanoseconds()) });
    state.edits_.restore(std::move(content));
}

void SnapshotCodec::readOrders(Wire::Snapshot::Reader root, State& state, Wire::FieldReader& fields)
{
    for (auto const order : root.getOrders()) {
        OrderRecord record { Wire::readDigest(order.getFingerprint()), Wire::readRequestId(order.getRequestId()),
            { fields.text(order.getHost()) }, { order.getIncarnation() },
            fields.enumeration(order.getPhase(), OrderPhase::Abandoned),
            Core::Duration(order.getRecordedAtNanoseconds()), std::nullopt };
        if (order.getHasAnswer())
            record.answer = Wire::readAnswer(order.getAnswer(), fields);
        if (!state.ledger_.restoreRecord(Wire::readOrderKey(order.getKey(), fields), std::move(record)))
            fields.fail(DecodeErrorKind::Inconsistent);
    }
}

void SnapshotCodec::readServers(Wire::Snapshot::Reader root, State& state, Wire::FieldReader& fields)
{
    for (auto const reader : root.getServers()) {
        ServerRecord record { Wire::readServer(reader.getServer(), fields), reader.getLost(),
            reader.getDrainedByOperator(), reader.getDrainedByAnnouncement(), reader.getReportedCold(),
            Core::Duration(reader.getLostAtNanoseconds()) };
        record.server.coldSince = { reader.getColdSince() };
        auto const name = record.server.name;
        state.servers_.insert_or_assign(name, std::move(record));
    }
}

void SnapshotCodec::readSlots(Wire::Snapshot::Reader root, State& state, Wire::FieldReader& fields)
{
    for (auto const reader : root.getSlotTables())
        state.slots_.insert_or_assign(Core::PoolName { fields.text(reader.getPool()) }, readTable(reader, fields));
}

void SnapshotCodec::readHostsDomainsAndQuarantine(Wire::Snapshot::Reader root, State& state, Wire::FieldReader& fields)
{
    for (auto const reader : root.getEntryHosts()) {
        auto host = Wire::readEntryHost(reader, fields);
        auto const name = host.name;
        state.entryHosts_.insert_or_assign(name, std::move(host));
    }
    for (auto const domain : root.getDrainedDomains())
        state.drainedDomains_.insert({ fields.text(domain) });
    for (auto const reader : root.getQuarantine())
        state.quarantine_.insert_or_assign(Wire::readDigest(reader.getFingerprint()),
            State::Quarantined { { fields.text(reader.getRoute()) }, Core::Duration(reader.getAddedAtNanoseconds()) });
}

/// Computes the slot counts of each server. Fails when the owner of a slot is missing or belongs to another pool, or
/// when a slot table does not match its pool.
void SnapshotCodec::countOwnedSlots(State& state, Wire::FieldReader& fields)
{
    for (auto const& [poolName, table] : state.slots_) {
        auto const* pool = state.table()->findPool(poolName);
        if (!pool || pool->slotCount != table.records().size())
            fields.fail(DecodeErrorKind::Inconsistent);
        for (auto const& slot : table.records()) {
            if (slot.phase == Routing::SlotPhase::Unassigned)
                continue;
            auto const owner = state.servers_.find(slot.owner);
            if (owner == state.servers_.end() || owner->second.server.pool != poolName) {
                fields.fail(DecodeErrorKind::Inconsistent);
                return;
            }
            ++owner->second.ownedSlots;
            owner->second.releasingSlots += slot.phase == Routing::SlotPhase::Releasing ? 1 : 0;
        }
    }
}

} // namespace Control
