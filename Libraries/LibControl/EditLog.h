#pragma once

#include <LibControl/Outcome.h>
#include <LibCore/Result.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace Control {

inline constexpr std::size_t maxPools = 4'096;
inline constexpr std::size_t maxRoutes = 16'384;
/// Reasons kept of one invalid edit.
inline constexpr std::size_t maxProblems = 256;

struct EditLogLimits {
    /// Accepted edits kept in the history. At 3,500 changes a day, this is more than a day.
    std::size_t maxHistory { 4'096 };
    /// Edit ids kept with their outcomes. Beyond it the oldest is dropped; a resend of a dropped edit gets a conflict,
    /// since its base revision is old.
    std::size_t maxIds { 16'384 };
    Core::Duration idRetention { std::chrono::hours(24) };

    bool operator==(EditLogLimits const&) const = default;
};

/// An accepted edit, for the history.
struct HistoryEntry {
    Core::Revision revision;
    Core::EditId id;
    std::string author;
    std::int64_t wallClockMilliseconds { 0 };
    std::uint32_t poolsAfter { 0 };
    std::uint32_t routesAfter { 0 };

    bool operator==(HistoryEntry const&) const = default;
};

struct KnownEdit {
    Core::Digest content;
    EditOutcome outcome;
    Core::Duration recordedAt { 0 };

    bool operator==(KnownEdit const&) const = default;
};

/// The tables with their revision, and the edits that led to them.
class EditLog {
public:
    /// Whether a pool has backend servers that may be serving.
    using PoolInUse = std::function<bool(Core::PoolName const&)>;

    explicit EditLog(EditLogLimits limits = {});

    EditOutcome submit(SubmitEdit const&, Core::ViewVersion version, Core::Duration now, PoolInUse const&);
    void expire(Core::Duration now);
    EditLogLimits const& limits() const { return limits_; }

    Core::Revision revision() const { return revision_; }
    std::shared_ptr<Routing::RoutingTable const> const& table() const { return table_; }
    std::deque<HistoryEntry> const& history() const { return history_; }
    std::map<Core::EditId, KnownEdit> const& knownEdits() const { return known_; }
    KnownEdit const* find(Core::EditId const&) const;

    struct Content {
        Core::Revision revision;
        std::shared_ptr<Routing::RoutingTable const> table;
        std::deque<HistoryEntry> history;
        /// Oldest first.
        std::vector<std::pair<Core::EditId, KnownEdit>> known;
    };
    Content content() const;
    void restore(Content);

private:
    EditOutcome decide(SubmitEdit const&, Core::ViewVersion, PoolInUse const&);
    EditOutcome accept(SubmitEdit const&, Core::ViewVersion, Routing::RoutingTable);
    void checkPoolsInUse(CompleteTables const&, PoolInUse const&, std::vector<EditProblem>&) const;
    void remember(Core::EditId const&, KnownEdit);

    EditLogLimits limits_;
    Core::Revision revision_;
    std::shared_ptr<Routing::RoutingTable const> table_;
    std::deque<HistoryEntry> history_;
    std::map<Core::EditId, KnownEdit> known_;
    /// Oldest first.
    std::deque<Core::EditId> knownOrder_;
};

} // namespace Control
