#pragma once

#include <LibControl/Outcome.h>
#include <LibCore/Result.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace Control {

/// Maximum number of pools in the tables.
inline constexpr std::size_t maxPools = 4'096;
/// Maximum number of routes in the tables.
inline constexpr std::size_t maxRoutes = 16'384;
/// Maximum number of problems reported for one invalid edit.
inline constexpr std::size_t maxEditProblems = 256;

struct EditLogLimits {
    /// Maximum number of accepted edits in the history. Covers more than a day at 3,500 changes a day.
    std::size_t maxHistory { 4'096 };
    /// Maximum number of edit ids that are stored with their outcomes. The oldest is dropped beyond it; a resend of a
    /// dropped edit results in a conflict, since its base revision is outdated.
    std::size_t maxIds { 16'384 };
    /// Time for which an edit id is stored with its outcome.
    Core::Duration idRetention { std::chrono::hours(24) };

    bool operator==(EditLogLimits const&) const = default;
};

/// Accepted edit in the history.
struct HistoryEntry {
    Core::Revision revision;
    Core::EditId id;
    std::string author;
    std::int64_t wallClockMilliseconds { 0 };
    /// Number of pools after the edit.
    std::uint32_t poolsAfter { 0 };
    /// Number of routes after the edit.
    std::uint32_t routesAfter { 0 };

    bool operator==(HistoryEntry const&) const = default;
};

/// Stored outcome of an edit, returned for resends with the same id.
struct KnownEdit {
    /// Digest of the base revision and the content, to detect an id that is reused for a different edit.
    Core::Digest content;
    EditOutcome outcome;
    /// Time of the submission on the state's clock.
    Core::Duration recordedAt { 0 };

    bool operator==(KnownEdit const&) const = default;
};

/// The current tables with their revision, and the history of edits.
class EditLog {
public:
    /// Tells whether a pool has backend servers that may be serving requests.
    using PoolInUse = std::function<bool(Core::PoolName const&)>;

    explicit EditLog(EditLogLimits limits = {});

    /// Applies an edit, or returns the stored outcome if the same edit was submitted before. `version` is the view
    /// version that an accepted edit creates.
    EditOutcome submit(SubmitEdit const&, Core::ViewVersion version, Core::Duration now, PoolInUse const&);
    /// Drops the outcomes of edits past their retention.
    void expire(Core::Duration now);
    EditLogLimits const& limits() const { return limits_; }

    Core::Revision revision() const { return revision_; }
    std::shared_ptr<Routing::RoutingTable const> const& table() const { return table_; }
    std::deque<HistoryEntry> const& history() const { return history_; }
    std::map<Core::EditId, KnownEdit> const& knownEdits() const { return known_; }
    KnownEdit const* find(Core::EditId const&) const;

    /// Content of a snapshot.
    struct Content {
        Core::Revision revision;
        std::shared_ptr<Routing::RoutingTable const> table;
        std::deque<HistoryEntry> history;
        /// Known edits, oldest first.
        std::vector<std::pair<Core::EditId, KnownEdit>> known;
    };
    Content content() const;
    void restore(Content);

private:
    EditOutcome evaluateEdit(SubmitEdit const&, Core::ViewVersion, PoolInUse const&);
    EditOutcome accept(SubmitEdit const&, Core::ViewVersion, Routing::RoutingTable);
    void checkPoolsInUse(CompleteTables const&, PoolInUse const&, std::vector<EditProblem>&) const;
    void recordEdit(Core::EditId const&, KnownEdit);

    EditLogLimits limits_;
    Core::Revision revision_;
    std::shared_ptr<Routing::RoutingTable const> table_;
    std::deque<HistoryEntry> history_;
    std::map<Core::EditId, KnownEdit> known_;
    /// Ids of the known edits, oldest first.
    std::deque<Core::EditId> knownOrder_;
};

} // namespace Control
