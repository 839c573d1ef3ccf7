#include <LibConfig/DaemonSettings.h>
#include <LibConfig/TablesDocument.h>
#include <LibConfig/Units.h>
#include <LibOperator/OperatorFields.h>
#include <LibOperator/OperatorQuery.h>

#include <charconv>

namespace Operator {

namespace {

    constexpr std::size_t maxAuthorBytes = 256;
    constexpr std::size_t maxCommentBytes = 2048;

    /// Takes parameters out of a query and remembers the first fault.
    class QueryReader {
    public:
        explicit QueryReader(QueryParameters const& parameters)
            : left_(parameters)
        {
        }

        std::optional<std::string> text(std::string const& name)
        {
            auto const [first, last] = left_.equal_range(name);
            if (first == last)
                return std::nullopt;
            if (std::next(first) != last)
                fail(name, "is repeated");
            auto value = first->second;
            left_.erase(first, last);
            return value;
        }

        template <typename T> std::optional<T> number(std::string const& name)
        {
            auto const value = text(name);
            if (!value)
                return std::nullopt;
            T number {};
            auto const [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
            if (error != std::errc {} || end != value->data() + value->size())
                fail(name, "is not a whole number in range");
            return number;
        }

        template <typename T> T required(std::string const& name, std::optional<T> value)
        {
            if (!value)
                fail(name, "is missing");
            return value.value_or(T {});
        }

        void fail(std::string const& name, std::string reason)
        {
            if (!fault_)
                fault_ = BadRequest { name, std::move(reason) };
        }

        template <typename Request> Core::Result<Request, BadRequest> finish(Request request)
        {
            if (!left_.empty())
                fail(left_.begin()->first, "is not a parameter of this path");
            if (fault_)
                return std::move(*fault_);
            return request;
        }

    private:
        QueryParameters left_;
        std::optional<BadRequest> fault_;
    };

    std::optional<BadRequest> checkText(
        std::string const& field, std::string_view text, std::size_t minBytes, std::size_t maxBytes)
    {
        if (text.size() >= minBytes && text.size() <= maxBytes)
            return std::nullopt;
        return BadRequest { field,
            "must have " + std::to_string(minBytes) + " to " + std::to_string(maxBytes) + " bytes" };
    }

    std::optional<OperatorError> checkHead(Core::EditId const& id, std::string_view author, std::string_view comment)
    {
        if (!Config::isValidName(id.value))
            return BadRequest { "id", "must have 1 to 64 letters, digits, '.', '_' or '-'" };
        if (auto fault = checkText("author", author, 1, maxAuthorBytes))
            return std::move(*fault);
        if (auto fault = checkText("comment", comment, 0, maxCommentBytes))
            return std::move(*fault);
        return std::nullopt;
    }

} // namespace

Core::Result<Core::Void, BadRequest> parseNoParameters(QueryParameters const& parameters)
{
    return QueryReader(parameters).finish(Core::Void {});
}

Core::Result<BackendsRequest, BadRequest> parseBackendsRequest(QueryParameters const& parameters)
{
    QueryReader reader(parameters);
    BackendsRequest request;
    if (auto pool = reader.text("pool"))
        request.pool = Core::PoolName { std::move(*pool) };
    return reader.finish(std::move(request));
}

Core::Result<OwnersRequest, BadRequest> parseOwnersRequest(QueryParameters const& parameters)
{
    QueryReader reader(parameters);
    OwnersRequest request { { reader.required("pool", reader.text("pool")) }, reader.text("key") };
    return reader.finish(std::move(request));
}

Core::Result<UsageRequest, BadRequest> parseUsageRequest(QueryParameters const& parameters)
{
    QueryReader reader(parameters);
    UsageRequest request;
    request.from = reader.required("from", reader.number<std::int64_t>("from"));
    request.to = reader.required("to", reader.number<std::int64_t>("to"));
    if (request.from > request.to)
        reader.fail("to", "is before from");
    auto const grouping = parseGrouping(reader.text("by").value_or("all"));
    if (!grouping)
        reader.fail("by", "is not pool, route, caller or all");
    request.grouping = grouping.value_or(request.grouping);
    return reader.finish(request);
}

Core::Result<HistoryRequest, BadRequest> parseHistoryRequest(QueryParameters const& parameters)
{
    QueryReader reader(parameters);
    HistoryRequest request;
    request.limit = reader.number<std::uint32_t>("limit").value_or(defaultHistoryEntries);
    if (request.limit == 0 || request.limit > maxHistoryEntries)
        reader.fail("limit", "must be 1 to " + std::to_string(maxHistoryEntries));
    if (auto const before = reader.number<std::uint64_t>("before"))
        request.before = Core::Revision { *before };
    return reader.finish(request);
}

Core::Result<TablesRequest, BadRequest> parseTablesRequest(QueryParameters const& parameters)
{
    QueryReader reader(parameters);
    TablesRequest request;
    if (auto const revision = reader.number<std::uint64_t>("revision"))
        request.revision = Core::Revision { *revision };
    return reader.finish(request);
}

Core::Result<DiffRequest, BadRequest> parseDiffRequest(QueryParameters const& parameters)
{
    QueryReader reader(parameters);
    DiffRequest request;
    request.from.value = reader.required("from", reader.number<std::uint64_t>("from"));
    request.to.value = reader.required("to", reader.number<std::uint64_t>("to"));
    return reader.finish(request);
}

Core::Result<WaitRequest, BadRequest> parseWaitRequest(QueryParameters const& parameters)
{
    QueryReader reader(parameters);
    WaitRequest request;
    request.revision.value = reader.required("revision", reader.number<std::uint64_t>("revision"));
    if (auto const text = reader.text("timeout")) {
        auto const timeout = Config::parseDuration(*text);
        if (timeout.error || timeout.value > maxWait)
            reader.fail("timeout", "must be a duration of at most " + Config::formatDuration(maxWait));
        request.timeout = timeout.value;
    }
    return reader.finish(request);
}

std::optional<Telemetry::UsageGrouping> parseGrouping(std::string_view word)
{
    return Archive::enumFromWord<Telemetry::UsageGrouping>(word);
}

std::string_view toString(Telemetry::UsageGrouping grouping)
{
    return wordsOf(Archive::Tag<Telemetry::UsageGrouping> {}).at(static_cast<std::size_t>(grouping));
}

std::optional<OperatorError> checkEdit(EditRequest const& request)
{
    if (auto fault = checkHead(request.id, request.author, request.comment))
        return fault;
    Config::TablesDocument const document { request.pools, request.routes };
    auto const readBack = Config::parseTables(Config::formatTables(document), "edit");
    if (!readBack.isError() && readBack.value() == document)
        return std::nullopt;
    InvalidEdit invalid;
    if (!readBack.isError())
        invalid.reasons.emplace_back("a value cannot be written as an INI document");
    else
        for (auto const& fault : readBack.error())
            invalid.reasons.push_back(Config::describe({ "edit", 0, fault.section, fault.key, fault.reason }));
    return invalid;
}

std::optional<OperatorError> checkService(
    Core::EditId const& id, ServiceTarget const& target, std::string_view author, std::string_view comment)
{
    auto const isNamed = std::visit([](auto const& name) { return Config::isValidName(name.value); }, target);
    if (!isNamed)
        return BadRequest { std::holds_alternative<Core::ServerName>(target) ? "server" : "domain",
            "is not a valid name" };
    return checkHead(id, author, comment);
}

} // namespace Operator
