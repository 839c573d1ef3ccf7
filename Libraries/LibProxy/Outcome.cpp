#include <LibProxy/Outcome.h>

#include <array>

namespace Proxy {

namespace {

    struct ReasonEntry {
        std::string_view name;
        Outcome outcome;
        std::uint16_t status;
    };

    /// Indexed by `Reason`. The mapping of docs/design.md section 4.3.
    constexpr std::array reasonTable {
        ReasonEntry { "none", Outcome::Answered, 200 },
        ReasonEntry { "no-route", Outcome::NotRun, 404 },
        ReasonEntry { "no-key", Outcome::NotRun, 400 },
        ReasonEntry { "bad-request", Outcome::NotRun, 400 },
        ReasonEntry { "body-too-large", Outcome::NotRun, 413 },
        ReasonEntry { "headers-too-large", Outcome::NotRun, 431 },
        ReasonEntry { "not-ready", Outcome::NotRun, 503 },
        ReasonEntry { "no-owner", Outcome::NotRun, 503 },
        ReasonEntry { "draining", Outcome::NotRun, 503 },
        ReasonEntry { "overloaded", Outcome::NotRun, 503 },
        ReasonEntry { "deadline-unreachable", Outcome::NotRun, 503 },
        ReasonEntry { "quarantined", Outcome::NotRun, 422 },
        ReasonEntry { "server-refused", Outcome::NotRun, 503 },
        ReasonEntry { "connect-failed", Outcome::NotRun, 502 },
        ReasonEntry { "key-reused", Outcome::NotRun, 422 },
        ReasonEntry { "caller-left", Outcome::NotRun, 499 },
        ReasonEntry { "in-progress", Outcome::Unknown, 409 },
        ReasonEntry { "deadline-exceeded", Outcome::Unknown, 504 },
        ReasonEntry { "connection-lost", Outcome::Unknown, 502 },
        ReasonEntry { "first-attempt-unknown", Outcome::Unknown, 409 },
        ReasonEntry { "answer-not-kept", Outcome::Unknown, 409 },
        ReasonEntry { "bad-body", Outcome::Unknown, 400 },
        ReasonEntry { "cancelled", Outcome::Unknown, 499 },
    };
    static_assert(reasonTable.size() == static_cast<std::size_t>(Reason::Cancelled) + 1);

    ReasonEntry const& entryOf(Reason reason) { return reasonTable.at(static_cast<std::size_t>(reason)); }

} // namespace

Outcome outcomeOf(Reason reason) { return entryOf(reason).outcome; }
std::uint16_t statusOf(Reason reason) { return entryOf(reason).status; }
std::string_view nameOf(Reason reason) { return entryOf(reason).name; }

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Proxy
