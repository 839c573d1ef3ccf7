#include <LibControl/WireTypes.h>
#include <LibCore/Result.h>

namespace Control {

namespace {

    using Wire::FieldReader;
    using Wire::NameTable;
    using Builder = Wire::Command::Builder;
    using Reader = Wire::Command::Reader;

    unsigned listSize(auto const& list) { return static_cast<unsigned>(list.size()); }

    void writeDemand(capnp::List<Wire::PoolDemand>::Builder builder, std::vector<PoolDemand> const& demand)
    {
        for (unsigned i = 0; i < listSize(demand); ++i) {
            builder[i].setPool(Wire::toText(demand[i].pool.value));
            builder[i].setBusySlots(demand[i].busySlots);
        }
    }

    std::vector<PoolDemand> readDemand(capnp::List<Wire::PoolDemand>::Reader reader, FieldReader& fields)
    {
        std::vector<PoolDemand> demand;
        for (auto const entry : reader) {
            // Rejects NaN as well: every comparison with NaN is false, so any drain would be accepted.
            if (!(entry.getBusySlots() >= 0))
                fields.fail(DecodeErrorKind::ValueOutOfRange);
            demand.push_back({ { fields.text(entry.getPool()) }, entry.getBusySlots() });
        }
        return demand;
    }

    void write(Builder builder, RegisterServer const& command)
    {
        auto group = builder.initRegisterServer();
        Wire::writeServer(group.initServer(), command.server);
        group.setCold(command.cold);
    }
    void write(Builder builder, ServerLost const& command)
    {
        auto group = builder.initServerLost();
        group.setServer(Wire::toText(command.server.value));
        group.setIncarnation(command.incarnation.value);
    }
    void write(Builder builder, DrainServer const& command)
    {
        auto group = builder.initDrainServer();
        group.setServer(Wire::toText(command.server.value));
        group.setCause(static_cast<std::uint8_t>(command.cause));
        group.setForce(command.force);
        writeDemand(group.initDemand(listSize(command.demand)), command.demand);
    }
    void write(Builder builder, ReturnServer const& command)
    {
        auto group = builder.initReturnServer();
        group.setServer(Wire::toText(command.server.value));
        group.setCause(static_cast<std::uint8_t>(command.cause));
    }
    void write(Builder builder, DrainDomain const& command)
    {
        auto group = builder.initDrainDomain();
        group.setDomain(Wire::toText(command.domain.value));
        group.setForce(command.force);
        writeDemand(group.initDemand(listSize(command.demand)), command.demand);
    }
    void write(Builder builder, ReturnDomain const& command)
    {
        builder.setReturnDomain(Wire::toText(command.domain.value));
    }
    void write(Builder builder, JoinEntryHost const& command)
    {
        Wire::writeEntryHost(builder.initJoinEntryHost(), command.host);
    }
    void write(Builder builder, RemoveEntryHost const& command)
    {
        auto group = builder.initRemoveEntryHost();
        group.setHost(Wire::toText(command.host.value));
        group.setIncarnation(command.incarnation.value);
        group.setJoinedAt(command.joinedAt.value);
    }
    void write(Builder builder, BeginRelease const& command)
    {
        auto group = builder.initBeginRelease();
        group.setPool(Wire::toText(command.pool.value));
        auto slots = group.initSlots(listSize(command.slots));
        NameTable names;
        for (unsigned i = 0; i < listSize(command.slots); ++i) {
            slots[i].setSlot(static_cast<std::uint32_t>(command.slots[i].slot.value));
            slots[i].setEpoch(command.slots[i].epoch.value);
            slots[i].setFrom(names.indexOf(command.slots[i].from.value));
            slots[i].setTo(names.indexOf(command.slots[i].to.value));
        }
        Wire::writeNames(group.initNames(listSize(names.names())), names.names());
    }
    void write(Builder builder, AssignSlots const& command)
    {
        auto group = builder.initAssignSlots();
        group.setPool(Wire::toText(command.pool.value));
        group.setAcknowledged(command.acknowledged.value);
        auto slots = group.initSlots(listSize(command.slots));
        NameTable names;
        for (unsigned i = 0; i < listSize(command.slots); ++i) {
            slots[i].setSlot(static_cast<std::uint32_t>(command.slots[i].slot.value));
            slots[i].setEpoch(command.slots[i].epoch.value);
            slots[i].setTo(names.indexOf(command.slots[i].to.value));
            slots[i].setBasis(static_cast<std::uint8_t>(command.slots[i].basis));
        }
        Wire::writeNames(group.initNames(listSize(names.names())), names.names());
    }
    void write(Wire::EditOperation::Builder builder, EditOperation const& operation)
    {
        std::visit(Core::Overloaded {
                       [&](PutPool const& put) {
                           Wire::writePool(builder.initPutPool(), put.pool);
                           builder.setReplace(put.replace);
                       },
                       [&](RemovePool const& remove) { builder.setRemovePool(Wire::toText(remove.pool.value)); },
                       [&](PutRoute const& put) {
                           Wire::writeRoute(builder.initPutRoute(), put.route);
                           builder.setReplace(put.replace);
                       },
                       [&](RemoveRoute const& remove) { builder.setRemoveRoute(Wire::toText(remove.route.value)); },
                   },
            operation);
    }
    void write(Builder builder, SubmitEdit const& command)
    {
        auto group = builder.initSubmitEdit();
        group.setId(Wire::toText(command.id.value));
        group.setBaseRevision(command.baseRevision.value);
        group.setAuthor(Wire::toText(command.author));
        group.setWallClockMilliseconds(command.wallClockMilliseconds);
        if (auto const* tables = std::get_if<CompleteTables>(&command.content)) {
            Wire::writeTables(group.initContent().initTables(), tables->pools, tables->routes);
            return;
        }
        auto const& operations = std::get<std::vector<EditOperation>>(command.content);
        auto list = group.initContent().initOperations(listSize(operations));
        for (unsigned i = 0; i < listSize(operations); ++i)
            write(list[i], operations[i]);
    }
    void write(Builder builder, ClaimOrder const& command)
    {
        auto group = builder.initClaimOrder();
        Wire::writeOrderKey(group.initKey(), command.key);
        Wire::writeDigest(group.initFingerprint(), command.fingerprint);
        Wire::writeRequestId(group.initRequestId(), command.requestId);
        group.setHost(Wire::toText(command.host.value));
        group.setIncarnation(command.incarnation.value);
    }
    void write(Builder builder, CompleteOrder const& command)
    {
        auto group = builder.initCompleteOrder();
        Wire::writeOrderKey(group.initKey(), command.key);
        Wire::writeRequestId(group.initRequestId(), command.requestId);
        group.setHasAnswer(command.answer.has_value());
        if (command.answer)
            Wire::writeAnswer(group.initAnswer(), *command.answer);
    }
    void write(Builder builder, AbandonOrder const& command)
    {
        auto group = builder.initAbandonOrder();
        Wire::writeOrderKey(group.initKey(), command.key);
        Wire::writeRequestId(group.initRequestId(), command.requestId);
    }
    void write(Builder builder, MarkOrderUnknown const& command)
    {
        auto group = builder.initMarkOrderUnknown();
        Wire::writeOrderKey(group.initKey(), command.key);
        Wire::writeRequestId(group.initRequestId(), command.requestId);
    }
    void write(Builder builder, AddQuarantine const& command)
    {
        auto group = builder.initAddQuarantine();
        Wire::writeDigest(group.initFingerprint(), command.request.fingerprint);
        group.setRoute(Wire::toText(command.request.route.value));
    }
    void write(Builder builder, LiftQuarantine const& command)
    {
        Wire::writeDigest(builder.initLiftQuarantine(), command.fingerprint);
    }
    void write(Builder builder, ExpireRecords const& command)
    {
        builder.setExpireRecordsNanoseconds(command.elapsed.count());
    }

    BeginRelease readRelease(Wire::Command::BeginRelease::Reader group, FieldReader& fields)
    {
        BeginRelease command { { fields.text(group.getPool()) }, {} };
        auto const names = Wire::readNames(group.getNames(), fields);
        command.slots.reserve(group.getSlots().size());
        for (auto const slot : group.getSlots())
            command.slots.push_back({ { slot.getSlot() }, { slot.getEpoch() },
                { Wire::nameAt(names, slot.getFrom(), fields) }, { Wire::nameAt(names, slot.getTo(), fields) } });
        return command;
    }

    AssignSlots readAssign(Wire::Command::AssignSlots::Reader group, FieldReader& fields)
    {
        AssignSlots command { { fields.text(group.getPool()) }, {}, { group.getAcknowledged() } };
        auto const names = Wire::readNames(group.getNames(), fields);
        command.slots.reserve(group.getSlots().size());
        for (auto const slot : group.getSlots())
            command.slots.push_back(
                { { slot.getSlot() }, { slot.getEpoch() }, { Wire::nameAt(names, slot.getTo(), fields) },
                    fields.enumeration(slot.getBasis(), ReleaseBasis::GrantExpired) });
        return command;
    }

    EditOperation readOperation(Wire::EditOperation::Reader reader, FieldReader& fields)
    {
        switch (reader.which()) {
        case Wire::EditOperation::PUT_POOL:
            return PutPool { Wire::readPool(reader.getPutPool(), fields), reader.getReplace() };
        case Wire::EditOperation::REMOVE_POOL:
            return RemovePool { { fields.text(reader.getRemovePool()) } };
        case Wire::EditOperation::PUT_ROUTE:
            return PutRoute { Wire::readRoute(reader.getPutRoute(), fields), reader.getReplace() };
        case Wire::EditOperation::REMOVE_ROUTE:
            return RemoveRoute { { fields.text(reader.getRemoveRoute()) } };
        }
        fields.fail(DecodeErrorKind::UnknownVariant);
        return RemovePool {};
    }

    EditContent readContent(Wire::Command::SubmitEdit::Content::Reader reader, FieldReader& fields)
    {
        switch (reader.which()) {
        case Wire::Command::SubmitEdit::Content::TABLES:
            return Wire::readTables(reader.getTables(), fields);
        case Wire::Command::SubmitEdit::Content::OPERATIONS: {
            std::vector<EditOperation> operations;
            for (auto const operation : reader.getOperations())
                operations.push_back(readOperation(operation, fields));
            return operations;
        }
        }
        fields.fail(DecodeErrorKind::UnknownVariant);
        return CompleteTables {};
    }

    SubmitEdit readEdit(Wire::Command::SubmitEdit::Reader group, FieldReader& fields)
    {
        return { { fields.text(group.getId()) }, { group.getBaseRevision() }, fields.text(group.getAuthor()),
            group.getWallClockMilliseconds(), readContent(group.getContent(), fields) };
    }

    CompleteOrder readComplete(Wire::Command::CompleteOrder::Reader group, FieldReader& fields)
    {
        CompleteOrder command { Wire::readOrderKey(group.getKey(), fields), Wire::readRequestId(group.getRequestId()),
            std::nullopt };
        if (group.getHasAnswer())
            command.answer = Wire::readAnswer(group.getAnswer(), fields);
        return command;
    }

    ClaimOrder readClaim(Wire::Command::ClaimOrder::Reader group, FieldReader& fields)
    {
        return { Wire::readOrderKey(group.getKey(), fields), Wire::readDigest(group.getFingerprint()),
            Wire::readRequestId(group.getRequestId()), { fields.text(group.getHost()) }, { group.getIncarnation() } };
    }

    std::optional<Command> readServerCommand(Reader reader, FieldReader& fields)
    {
        switch (reader.which()) {
        case Wire::Command::REGISTER_SERVER: {
            auto const group = reader.getRegisterServer();
            return RegisterServer { Wire::readServer(group.getServer(), fields), group.getCold() };
        }
        case Wire::Command::SERVER_LOST: {
            auto const group = reader.getServerLost();
            return ServerLost { { fields.text(group.getServer()) }, { group.getIncarnation() } };
        }
        case Wire::Command::DRAIN_SERVER: {
            auto const group = reader.getDrainServer();
            return DrainServer { { fields.text(group.getServer()) },
                fields.enumeration(group.getCause(), DrainCause::Announced), group.getForce(),
                readDemand(group.getDemand(), fields) };
        }
        case Wire::Command::RETURN_SERVER: {
            auto const group = reader.getReturnServer();
            return ReturnServer { { fields.text(group.getServer()) },
                fields.enumeration(group.getCause(), DrainCause::Announced) };
        }
        case Wire::Command::DRAIN_DOMAIN: {
            auto const group = reader.getDrainDomain();
            return DrainDomain { { fields.text(group.getDomain()) }, group.getForce(),
                readDemand(group.getDemand(), fields) };
        }
        case Wire::Command::RETURN_DOMAIN:
            return ReturnDomain { { fields.text(reader.getReturnDomain()) } };
        case Wire::Command::JOIN_ENTRY_HOST:
            return JoinEntryHost { Wire::readEntryHost(reader.getJoinEntryHost(), fields) };
        case Wire::Command::REMOVE_ENTRY_HOST: {
            auto const group = reader.getRemoveEntryHost();
            return RemoveEntryHost { { fields.text(group.getHost()) }, { group.getIncarnation() },
                { group.getJoinedAt() } };
        }
        default:
            return std::nullopt;
        }
    }

    std::optional<Command> readRecordCommand(Reader reader, FieldReader& fields)
    {
        switch (reader.which()) {
        case Wire::Command::BEGIN_RELEASE:
            return readRelease(reader.getBeginRelease(), fields);
        case Wire::Command::ASSIGN_SLOTS:
            return readAssign(reader.getAssignSlots(), fields);
        case Wire::Command::SUBMIT_EDIT:
            return readEdit(reader.getSubmitEdit(), fields);
        case Wire::Command::CLAIM_ORDER:
            return readClaim(reader.getClaimOrder(), fields);
        case Wire::Command::COMPLETE_ORDER:
            return readComplete(reader.getCompleteOrder(), fields);
        case Wire::Command::ABANDON_ORDER: {
            auto const group = reader.getAbandonOrder();
            return AbandonOrder { Wire::readOrderKey(group.getKey(), fields),
                Wire::readRequestId(group.getRequestId()) };
        }
        case Wire::Command::MARK_ORDER_UNKNOWN: {
            auto const group = reader.getMarkOrderUnknown();
            return MarkOrderUnknown { Wire::readOrderKey(group.getKey(), fields),
                Wire::readRequestId(group.getRequestId()) };
        }
        case Wire::Command::ADD_QUARANTINE: {
            auto const group = reader.getAddQuarantine();
            return AddQuarantine { { Wire::readDigest(group.getFingerprint()), { fields.text(group.getRoute()) } } };
        }
        case Wire::Command::LIFT_QUARANTINE:
            return LiftQuarantine { Wire::readDigest(reader.getLiftQuarantine()) };
        case Wire::Command::EXPIRE_RECORDS_NANOSECONDS:
            return ExpireRecords { Core::Duration(reader.getExpireRecordsNanoseconds()) };
        default:
            return std::nullopt;
        }
    }

    Core::Result<Command, DecodeError> read(Reader reader)
    {
        FieldReader fields;
        auto command = readServerCommand(reader, fields);
        if (!command)
            command = readRecordCommand(reader, fields);
        if (!command)
            return DecodeError { DecodeErrorKind::UnknownVariant };
        if (fields.error())
            return *fields.error();
        return std::move(*command);
    }

} // namespace

Bytes encodeCommand(Command const& command)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<Wire::Command>();
    std::visit([&](auto const& alternative) { write(root, alternative); }, command);
    return Wire::toBytes(message);
}

Core::Result<Command, DecodeError> decodeCommand(std::span<std::byte const> bytes)
{
    auto const words = Wire::toWords(bytes, maxCommandBytes);
    if (!words)
        return DecodeError { DecodeErrorKind::InvalidLength };
    try {
        capnp::FlatArrayMessageReader message(*words, Wire::readerOptions(words->size()));
        return read(message.getRoot<Wire::Command>());
    } catch (kj::Exception const&) {
        return DecodeError { DecodeErrorKind::Malformed };
    }
}

} // namespace Control
