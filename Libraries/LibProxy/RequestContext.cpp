#include <LibCore/Random.h>
#include <LibProxy/RequestContext.h>

#include <algorithm>
#include <charconv>

namespace Proxy {

namespace {

    /// `00-` trace id `-` parent id `-` flags, of W3C Trace Context.
    constexpr std::size_t traceParentLength = 55;
    constexpr std::size_t spanOffset = 36;
    constexpr std::size_t flagsOffset = 53;
    constexpr std::size_t spanDigits = 16;
    constexpr std::size_t maxIdempotencyKeyBytes = 256;

    template <typename T> std::optional<T> parseNumber(std::string_view text, int base)
    {
        T value {};
        auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
        if (error != std::errc {} || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    Core::Result<Core::Void, Rejection> checkHead(MessageHead const& head)
    {
        auto const isOriginForm = head.target.starts_with('/') && head.target.find('#') == std::string::npos;
        auto const isHostValid = head.isHttp10 ? head.count("Host") <= 1 : head.count("Host") == 1;
        auto const isTunnel = head.method == "CONNECT" || head.method == "TRACE";
        if (!isOriginForm || !isHostValid || isTunnel)
            return Rejection { Reason::BadRequest };
        return Core::Void {};
    }

    Routing::RequestHead toRoutingHead(MessageHead const& head)
    {
        auto const target = std::string_view(head.target);
        auto const question = target.find('?');
        return { .host = head.find("Host").value_or(std::string_view {}),
            .method = head.method,
            .path = target.substr(0, question),
            .query = question == std::string_view::npos ? std::string_view {} : target.substr(question + 1),
            .header = [&head](std::string_view name) { return head.find(name); } };
    }

    Core::Result<Core::Void, Rejection> matchRoute(RequestContext& context)
    {
        auto const routingHead = toRoutingHead(context.head);
        context.route = context.view->table->match(routingHead);
        if (!context.route)
            return Rejection { Reason::NoRoute };
        context.record.route = context.route->name;
        context.record.pool = context.route->pool;
        context.pool = context.view->table->findPool(context.route->pool);
        auto key = Routing::extractKey(context.route->key, routingHead);
        if (key.isError())
            return Rejection { std::holds_alternative<Routing::KeyMissing>(key.error()) ? Reason::NoKey
                                                                                        : Reason::BadRequest };
        context.key = std::move(key).value();
        if (context.pool->kind == Routing::PoolKind::KeyPartitioned)
            context.slot = Routing::slotOfKey(context.key, *context.pool);
        return Core::Void {};
    }

    Core::Result<Core::Void, Rejection> readLimits(RequestContext& context)
    {
        context.callerDeadline = context.record.begin + context.route->deadline;
        if (auto const text = context.head.find("Primroseshift-Deadline-Ms")) {
            auto const milliseconds = parseNumber<std::uint32_t>(*text, 10);
            if (!milliseconds)
                return Rejection { Reason::BadRequest };
            context.callerDeadline
                = std::min(context.callerDeadline, context.record.begin + std::chrono::milliseconds(*milliseconds));
        }
        context.idempotencyKey = context.head.find("Idempotency-Key").value_or(std::string_view {});
        if (context.idempotencyKey.size() > maxIdempotencyKeyBytes || context.head.count("Idempotency-Key") > 1)
            return Rejection { Reason::BadRequest };
        if (context.head.contentLength.value_or(0) > context.route->maxBodyBytes)
            return Rejection { Reason::BodyTooLarge };
        context.body.setLimit(context.route->maxBodyBytes);
        return Core::Void {};
    }

} // namespace

Core::Random& threadRandom()
{
    thread_local auto random = Core::Random::fromSystemEntropy();
    return random;
}

TraceContext traceOf(MessageHead const& head)
{
    auto& random = threadRandom();
    TraceContext trace { .traceId = Core::RequestId::generate(random), .spanId = random.next(), .isSampled = true };
    auto const text = head.find("traceparent").value_or(std::string_view {});
    if (text.size() != traceParentLength || !text.starts_with("00-"))
        return trace;
    auto const traceId = Core::RequestId::parse(text.substr(3, 2 * spanDigits));
    auto const parent = parseNumber<std::uint64_t>(text.substr(spanOffset, spanDigits), 16);
    auto const flags = parseNumber<std::uint32_t>(text.substr(flagsOffset), 16);
    if (!traceId || !parent || !flags || *parent == 0)
        return trace;
    trace.traceId = *traceId;
    trace.parentSpanId = *parent;
    trace.isSampled = (*flags & 1U) != 0;
    return trace;
}

std::string toTraceParent(TraceContext const& trace, std::uint64_t spanId)
{
    // The second half of a request id has the form of a span id.
    auto const span = Core::RequestId { 0, spanId }.toString().substr(spanDigits);
    return "00-" + trace.traceId.toString() + "-" + span + (trace.isSampled ? "-01" : "-00");
}

Core::Result<Core::Void, Rejection> admit(Environment& environment, RequestContext& context)
{
    TRY(checkHead(context.head));
    if (environment.isDraining)
        return Rejection { Reason::Draining, std::chrono::seconds(1) };
    context.view = environment.collaborators.views.currentView();
    if (!context.view || !context.view->table || !environment.collaborators.views.hasValidLease())
        return Rejection { Reason::NotReady, std::chrono::seconds(1) };
    TRY(matchRoute(context));
    return readLimits(context);
}

Core::Result<bool, Rejection> matchAgain(RequestContext& context, std::shared_ptr<Routing::View const> view)
{
    // Keeps the old route alive for the comparison.
    auto const oldView = std::exchange(context.view, std::move(view));
    auto const& oldRoute = *context.route;
    auto const oldSlot = std::exchange(context.slot, std::nullopt);
    TRY(matchRoute(context));
    auto const& newRoute = *context.route;
    if (newRoute.name != oldRoute.name || newRoute.requestClass != oldRoute.requestClass)
        return Rejection { Reason::NotReady, std::chrono::seconds(1) };
    return newRoute.pool == oldRoute.pool && context.slot == oldSlot;
}

Core::Digest fingerprintOf(RequestContext const& context)
{
    std::string text;
    auto const append = [&](std::string_view part) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    };
    append(context.route->name.value);
    append(context.head.method);
    append(context.head.target);
    append(context.key);
    append(context.idempotencyKey);
    append(std::to_string(context.head.contentLength.value_or(0)));
    append(context.body.buffered());
    return Core::digest128(text);
}

} // namespace Proxy
