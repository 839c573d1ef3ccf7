#include <LibControl/WireTypes.h>

namespace Control::Wire {

namespace {

    /// Traversal limit as a multiple of the message size. A message is read only once; the factor leaves room for
    /// padding and default values.
    constexpr std::uint64_t traversalFactor = 4;
    constexpr std::uint64_t minTraversalWords = 1024;
    constexpr int maxNesting = 16;

    void writeKeySource(Route::Key::Builder builder, Routing::KeySource const& source)
    {
        std::visit(Core::Overloaded {
                       [&](Routing::NoKey const&) { builder.setNone(); },
                       [&](Routing::KeyFromPathSegment const& key) { builder.setPathSegment(key.index); },
                       [&](Routing::KeyFromQuery const& key) { builder.setQuery(toText(key.parameter)); },
                       [&](Routing::KeyFromHeader const& key) { builder.setHeader(toText(key.header)); },
                   },
            source);
    }

    Routing::KeySource readKeySource(Route::Key::Reader reader, FieldReader& fields)
    {
        switch (reader.which()) {
        case Route::Key::NONE:
            return Routing::NoKey {};
        case Route::Key::PATH_SEGMENT:
            return Routing::KeyFromPathSegment { reader.getPathSegment() };
        case Route::Key::QUERY:
            return Routing::KeyFromQuery { fields.text(reader.getQuery()) };
        case Route::Key::HEADER:
            return Routing::KeyFromHeader { fields.text(reader.getHeader()) };
        }
        fields.fail(DecodeErrorKind::UnknownVariant);
        return Routing::NoKey {};
    }

} // namespace

void writeNames(capnp::List<capnp::Text>::Builder builder, std::vector<std::string> const& names)
{
    for (std::size_t i = 0; i < names.size(); ++i)
        builder.set(static_cast<unsigned>(i), toText(names[i]));
}

std::vector<std::string> readNames(capnp::List<capnp::Text>::Reader reader, FieldReader& fields)
{
    std::vector<std::string> names;
    names.reserve(reader.size());
    for (auto const name : reader)
        names.push_back(fields.text(name));
    return names;
}

std::string const& nameAt(std::vector<std::string> const& names, std::uint32_t index, FieldReader& fields)
{
    static std::string const empty;
    if (index < names.size())
        return names[index];
    fields.fail(DecodeErrorKind::ValueOutOfRange);
    return empty;
}

void writeDigest(Digest::Builder builder, Core::Digest const& digest)
{
    builder.setHigh(digest.high);
    builder.setLow(digest.low);
}

Core::Digest readDigest(Digest::Reader reader) { return { reader.getHigh(), reader.getLow() }; }

void writeRequestId(RequestId::Builder builder, Core::RequestId const& id)
{
    builder.setHigh(id.high);
    builder.setLow(id.low);
}

Core::RequestId readRequestId(RequestId::Reader reader) { return { reader.getHigh(), reader.getLow() }; }

void writeServer(Server::Builder builder, Routing::BackendServer const& server)
{
    builder.setName(toText(server.name.value));
    builder.setPool(toText(server.pool.value));
    builder.setAddress(toText(server.endpoint.address));
    builder.setPort(server.endpoint.port);
    builder.setFailureDomain(toText(server.failureDomain.value));
    builder.setIncarnation(server.incarnation.value);
    builder.setSlots(server.slots);
    builder.setConnections(server.connections);
    builder.setChecksFencing(server.checksFencing);
}

Routing::BackendServer readServer(Server::Reader reader, FieldReader& fields)
{
    return { .name = { fields.text(reader.getName()) },
        .pool = { fields.text(reader.getPool()) },
        .endpoint = { fields.text(reader.getAddress()), reader.getPort() },
        .failureDomain = { fields.text(reader.getFailureDomain()) },
        .incarnation = { reader.getIncarnation() },
        .slots = reader.getSlots(),
        .connections = reader.getConnections(),
        .checksFencing = reader.getChecksFencing() };
}

void writeEntryHost(EntryHost::Builder builder, Routing::EntryHost const& host)
{
    builder.setName(toText(host.name.value));
    builder.setAddress(toText(host.rpcEndpoint.address));
    builder.setPort(host.rpcEndpoint.port);
    builder.setFailureDomain(toText(host.failureDomain.value));
    builder.setIncarnation(host.incarnation.value);
    builder.setJoinedAt(host.joinedAt.value);
}

Routing::EntryHost readEntryHost(EntryHost::Reader reader, FieldReader& fields)
{
    return { .name = { fields.text(reader.getName()) },
        .rpcEndpoint = { fields.text(reader.getAddress()), reader.getPort() },
        .failureDomain = { fields.text(reader.getFailureDomain()) },
        .incarnation = { reader.getIncarnation() },
        .joinedAt = { reader.getJoinedAt() } };
}

void writePool(Pool::Builder builder, Routing::PoolDefinition const& pool)
{
    builder.setName(toText(pool.name.value));
    builder.setKind(static_cast<std::uint8_t>(pool.kind));
    builder.setSlotCount(pool.slotCount);
    builder.setDispatchGroups(pool.dispatchGroups);
}

Routing::PoolDefinition readPool(Pool::Reader reader, FieldReader& fields)
{
    return { .name = { fields.text(reader.getName()) },
        .kind = fields.enumeration(reader.getKind(), Routing::PoolKind::AnyServer),
        .slotCount = reader.getSlotCount(),
        .dispatchGroups = reader.getDispatchGroups() };
}

void writeRoute(Route::Builder builder, Routing::RouteDefinition const& route)
{
    builder.setName(toText(route.name.value));
    builder.setPool(toText(route.pool.value));
    builder.setHost(toText(route.host));
    writeNames(builder.initMethods(static_cast<unsigned>(route.methods.size())), route.methods);
    builder.setPathPrefix(toText(route.pathPrefix));
    builder.setHasHeader(route.header.has_value());
    if (route.header) {
        builder.setHeaderName(toText(route.header->name));
        builder.setHeaderValue(toText(route.header->value));
    }
    writeKeySource(builder.initKey(), route.key);
    builder.setRequestClass(static_cast<std::uint8_t>(route.requestClass));
    builder.setPriority(static_cast<std::uint8_t>(route.priority));
    builder.setDeadlineNanoseconds(route.deadline.count());
    builder.setMaxBodyBytes(route.maxBodyBytes);
}

Routing::RouteDefinition readRoute(Route::Reader reader, FieldReader& fields)
{
    Routing::RouteDefinition route;
    route.name = { fields.text(reader.getName()) };
    route.pool = { fields.text(reader.getPool()) };
    route.host = fields.text(reader.getHost());
    route.methods = readNames(reader.getMethods(), fields);
    route.pathPrefix = fields.text(reader.getPathPrefix());
    if (reader.getHasHeader())
        route.header
            = Routing::HeaderCondition { fields.text(reader.getHeaderName()), fields.text(reader.getHeaderValue()) };
    route.key = readKeySource(reader.getKey(), fields);
    route.requestClass = fields.enumeration(reader.getRequestClass(), Routing::RequestClass::NonIdempotent);
    route.priority = fields.enumeration(reader.getPriority(), Routing::Priority::Interactive);
    route.deadline = Core::Duration(reader.getDeadlineNanoseconds());
    route.maxBodyBytes = reader.getMaxBodyBytes();
    return route;
}

void writeTables(Tables::Builder builder, std::span<Routing::PoolDefinition const> pools,
    std::span<Routing::RouteDefinition const> routes)
{
    auto poolList = builder.initPools(static_cast<unsigned>(pools.size()));
    for (std::size_t i = 0; i < pools.size(); ++i)
        writePool(poolList[static_cast<unsigned>(i)], pools[i]);
    auto routeList = builder.initRoutes(static_cast<unsigned>(routes.size()));
    for (std::size_t i = 0; i < routes.size(); ++i)
        writeRoute(routeList[static_cast<unsigned>(i)], routes[i]);
}

CompleteTables readTables(Tables::Reader reader, FieldReader& fields)
{
    CompleteTables tables;
    for (auto const pool : reader.getPools())
        tables.pools.push_back(readPool(pool, fields));
    for (auto const route : reader.getRoutes())
        tables.routes.push_back(readRoute(route, fields));
    return tables;
}

void writeOrderKey(OrderKey::Builder builder, Control::OrderKey const& key)
{
    builder.setRoute(toText(key.route.value));
    builder.setCaller(toText(key.caller.value));
    builder.setIdempotencyKey(toData(key.idempotencyKey));
}

Control::OrderKey readOrderKey(OrderKey::Reader reader, FieldReader& fields)
{
    return { { fields.text(reader.getRoute()) }, { fields.text(reader.getCaller()) },
        fields.data(reader.getIdempotencyKey(), maxNameBytes) };
}

void writeAnswer(KeptAnswer::Builder builder, Control::KeptAnswer const& answer)
{
    builder.setStatus(answer.status);
    builder.setContentType(toText(answer.contentType));
    builder.setBody(toData(answer.body));
}

Control::KeptAnswer readAnswer(KeptAnswer::Reader reader, FieldReader& fields)
{
    return { reader.getStatus(), fields.text(reader.getContentType()),
        fields.data(reader.getBody(), maxKeptAnswerBytes) };
}

Bytes toBytes(capnp::MessageBuilder& message)
{
    auto const words = capnp::messageToFlatArray(message);
    auto const bytes = words.asBytes();
    Bytes result(bytes.size());
    std::memcpy(result.data(), bytes.begin(), bytes.size());
    return result;
}

std::optional<kj::Array<capnp::word>> toWords(std::span<std::byte const> bytes, std::size_t maxBytes)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0 || bytes.size() > maxBytes)
        return std::nullopt;
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    return words;
}

capnp::ReaderOptions readerOptions(std::size_t words)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = minTraversalWords + traversalFactor * words;
    options.nestingLimit = maxNesting;
    return options;
}

} // namespace Control::Wire
