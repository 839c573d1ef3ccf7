#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Model.h>

#include <map>

namespace Fleet {

/// How the platform checks the quotas of workspaces: in any window, at most the quota of the window times one plus the
/// excess, plus the slack.
struct QuotaBounds {
    Core::Duration window { std::chrono::seconds(5) };
    double excess { 0 };
    /// Requests.
    double slack { 0 };
};

/// How the requests that a workspace may run within a window are divided: a part has fixed shares for all entry hosts,
/// a part is granted by the control leader as credits. What is left is a margin for changes of the list of entry hosts.
struct QuotaDivision {
    /// The requests within a window that the entry hosts may run without asking, all together.
    std::size_t shared { 0 };
    double creditsPerSecond { 0 };
    /// The credits that may be granted at once.
    double maxCredits { 0 };
};

QuotaDivision divideQuota(WorkspaceItem const&, QuotaBounds const&);

/// A credit allows one request and expires after this time, so that unused credits of many hosts are not used at once.
inline constexpr Core::Duration creditLifetime = std::chrono::milliseconds(250);

/// An entry host's request to the control leader for credits of a workspace.
struct QuotaRequest {
    /// Identifies the request among those of the entry host.
    std::uint64_t id { 0 };
    Core::WorkspaceName workspace;
    std::uint32_t count { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuotaRequest, id, workspace, count)

struct QuotaReply {
    std::uint64_t id { 0 };
    std::uint32_t granted { 0 };
    /// The time in milliseconds until there is another credit; zero if all were granted.
    std::int64_t waitMs { 0 };
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(QuotaReply, id, granted, waitMs)

/// The credits that the control leader grants, from a token bucket for each workspace.
///
/// A bucket starts empty when a leader takes over and is never refilled by returned credits. The credits of two leaders
/// that follow each other therefore stay within the bound of one bucket.
class WorkspaceQuotas {
public:
    WorkspaceQuotas(QuotaBounds const&, Core::TimePoint startedAt);

    QuotaReply grant(WorkspaceItem const&, QuotaRequest const&, Core::TimePoint now);
    void remove(Core::WorkspaceName const& workspace) { buckets_.erase(workspace); }

private:
    struct Bucket {
        double credits { 0 };
        Core::TimePoint updatedAt;
    };

    QuotaBounds bounds_;
    Core::TimePoint startedAt_;
    std::map<Core::WorkspaceName, Bucket> buckets_;
};

} // namespace Fleet
