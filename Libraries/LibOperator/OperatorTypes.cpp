#include <LibConfig/Units.h>
#include <LibOperator/OperatorTypes.h>
#include <LibTelemetry/Hex.h>

#include <array>
#include <map>

namespace Operator {

namespace {

    constexpr std::size_t digestHalfDigits = 16;
    constexpr std::array<std::string_view, 6> subjectWords { "pool", "backend server", "failure domain", "revision",
        "fingerprint", "path" };

    std::string describeNotLeader(NotLeader const& error)
    {
        if (error.leader && error.endpoint)
            return "this host is not the leader; the leader is " + error.leader->value + " at "
                + error.endpoint->toString();
        return "this host is not the leader, and the leader is not known";
    }

    std::string describeInvalidEdit(InvalidEdit const& error)
    {
        std::string text = "the edit is invalid";
        for (auto const& reason : error.reasons)
            text += (&reason == &error.reasons.front() ? ": " : "; ") + reason;
        return text;
    }

    template <typename Definition>
    std::vector<Change<Definition>> compare(std::vector<Definition> const& from, std::vector<Definition> const& to)
    {
        std::map<std::string, Change<Definition>> byName;
        for (auto const& definition : from)
            byName[definition.name.value].before = definition;
        for (auto const& definition : to)
            byName[definition.name.value].after = definition;
        std::vector<Change<Definition>> changes;
        for (auto& [name, change] : byName) {
            if (change.before == change.after)
                continue;
            if (!change.before)
                change.kind = ChangeKind::Added;
            else if (!change.after)
                change.kind = ChangeKind::Removed;
            changes.push_back(std::move(change));
        }
        return changes;
    }

} // namespace

int httpStatusOf(OperatorError const& error)
{
    return std::visit(Core::Overloaded {
                          [](NotLeader const&) { return 421; },
                          [](Conflict const&) { return 409; },
                          [](EditIdReused const&) { return 409; },
                          [](InvalidEdit const&) { return 422; },
                          [](NotFound const&) { return 404; },
                          [](Unavailable const&) { return 503; },
                          [](Timeout const&) { return 504; },
                          [](BadRequest const&) { return 400; },
                      },
        error);
}

std::string describe(OperatorError const& error)
{
    return std::visit(
        Core::Overloaded {
            [](NotLeader const& e) { return describeNotLeader(e); },
            [](Conflict const& e) {
                return "the edit was based on another revision than the current one, "
                    + std::to_string(e.current.value);
            },
            [](EditIdReused const& e) { return "edit id '" + e.id.value + "' was used before for other content"; },
            [](InvalidEdit const& e) { return describeInvalidEdit(e); },
            [](NotFound const& e) {
                return "there is no " + std::string(subjectWords.at(static_cast<std::size_t>(e.subject))) + " '"
                    + e.name + "'";
            },
            [](Unavailable const& e) { return "not available: " + e.reason; },
            [](Timeout const& e) {
                return "no outcome within " + Config::formatDuration(e.waited) + "; it may still come into effect";
            },
            [](BadRequest const& e) { return "bad request: " + e.field + ": " + e.reason; },
        },
        error);
}

DiffResponse compareTables(TablesResponse const& from, TablesResponse const& to)
{
    return { from.revision, to.revision, compare(from.pools, to.pools), compare(from.routes, to.routes) };
}

std::string formatDigest(Core::Digest const& digest)
{
    return Telemetry::formatHex(digest.high) + Telemetry::formatHex(digest.low);
}

std::optional<Core::Digest> parseDigest(std::string_view text)
{
    if (text.size() != 2 * digestHalfDigits)
        return std::nullopt;
    auto const high = Telemetry::parseHex(text.substr(0, digestHalfDigits));
    auto const low = Telemetry::parseHex(text.substr(digestHalfDigits));
    if (!high || !low)
        return std::nullopt;
    return Core::Digest { *high, *low };
}

} // namespace Operator
