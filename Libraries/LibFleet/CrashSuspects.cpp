#include <LibFleet/CrashSuspects.h>

#include <algorithm>

namespace Fleet {

namespace {

    /// Two servers may crash at once for reasons unrelated to the request.
    constexpr std::size_t crashesToVerify = 2;
    constexpr std::size_t crashesToQuarantine = 3;
    /// The time within which the crash of a server must follow a suspicion, or a late report the crash.
    constexpr Core::Duration suspicionTime = std::chrono::seconds(20);
    /// The time after which a crash no longer counts, unless another one follows.
    constexpr Core::Duration recordTime = std::chrono::minutes(1);
    /// The time that entry hosts have to clear a request: two of their reports, and the way.
    constexpr Core::Duration verificationTime = std::chrono::milliseconds(1200);
    constexpr Core::Duration quarantineTime = std::chrono::minutes(10);
    /// Bounds on what entry hosts report and get.
    constexpr std::size_t maxSuspicionsPerServer = 64;
    constexpr std::size_t maxRecords = 4096;
    constexpr std::size_t maxVerified = 64;

} // namespace

void CrashSuspects::suspect(ServerNumber server, std::string const& fingerprint, Core::TimePoint now)
{
    if (leaving_.contains(server))
        return;
    if (auto const crash = crashes_.find(server); crash != crashes_.end()) {
        recordCrash(fingerprint, server, now);
        return;
    }
    auto& suspicions = suspicions_[server];
    std::erase_if(suspicions, [&](auto const& suspicion) { return suspicion.fingerprint == fingerprint; });
    if (suspicions.size() < maxSuspicionsPerServer)
        suspicions.push_back({ fingerprint, now });
}

void CrashSuspects::clear(std::string const& fingerprint, Core::TimePoint now)
{
    for (auto& [server, suspicions] : suspicions_)
        std::erase_if(suspicions, [&](auto const& suspicion) { return suspicion.fingerprint == fingerprint; });
    auto const found = records_.find(fingerprint);
    if (found == records_.end())
        return;
    if (found->second.quarantinedUntil) {
        decisions_.push_back({ fingerprint, false, found->second.crashed.size() });
        cleared_[fingerprint] = now;
    }
    records_.erase(found);
    hasChanged_ = true;
}

void CrashSuspects::adopt(std::string const& fingerprint, Core::TimePoint now)
{
    if (cleared_.contains(fingerprint) || records_.size() >= maxRecords)
        return;
    auto& record = records_[fingerprint];
    if (record.quarantinedUntil)
        return;
    record.lastCrash = now;
    quarantine(fingerprint, record, now);
}

void CrashSuspects::onCrash(ServerNumber server, Core::TimePoint now)
{
    auto const node = suspicions_.extract(server);
    if (leaving_.contains(server))
        return;
    crashes_[server] = now;
    if (node.empty())
        return;
    for (auto const& suspicion : node.mapped()) {
        if (now - suspicion.at <= suspicionTime)
            recordCrash(suspicion.fingerprint, server, now);
    }
}

void CrashSuspects::onLeaving(ServerNumber server)
{
    leaving_.insert(server);
    suspicions_.erase(server);
}

void CrashSuspects::onRemoved(ServerNumber server)
{
    suspicions_.erase(server);
    leaving_.erase(server);
}

void CrashSuspects::recordCrash(std::string const& fingerprint, ServerNumber server, Core::TimePoint now)
{
    if (!records_.contains(fingerprint) && records_.size() >= maxRecords)
        return;
    auto& record = records_[fingerprint];
    record.crashed.insert(server);
    record.lastCrash = now;
}

void CrashSuspects::quarantine(std::string const& fingerprint, Record& record, Core::TimePoint now)
{
    record.quarantinedUntil = now + quarantineTime;
    record.verifiedSince.reset();
    decisions_.push_back({ fingerprint, true, record.crashed.size() });
    hasChanged_ = true;
}

void CrashSuspects::tick(Core::TimePoint now)
{
    std::erase_if(crashes_, [&](auto const& crash) { return now - crash.second > suspicionTime; });
    std::erase_if(cleared_, [&](auto const& cleared) { return now - cleared.second > quarantineTime; });
    for (auto& [server, suspicions] : suspicions_)
        std::erase_if(suspicions, [&](auto const& suspicion) { return now - suspicion.at > suspicionTime; });
    std::erase_if(suspicions_, [](auto const& entry) { return entry.second.empty(); });
    auto verified
        = std::ranges::count_if(records_, [](auto const& entry) { return entry.second.verifiedSince.has_value(); });
    for (auto& [fingerprint, record] : records_) {
        if (record.quarantinedUntil || record.crashed.size() < crashesToVerify)
            continue;
        if (!record.verifiedSince && verified < static_cast<std::ptrdiff_t>(maxVerified)) {
            record.verifiedSince = now;
            ++verified;
            hasChanged_ = true;
        }
        auto const isVerified = record.verifiedSince && now - *record.verifiedSince >= verificationTime;
        if (isVerified && record.crashed.size() >= crashesToQuarantine)
            quarantine(fingerprint, record, now);
    }
    std::erase_if(records_, [&](auto const& entry) {
        auto const& [fingerprint, record] = entry;
        auto const isOver
            = record.quarantinedUntil ? now >= *record.quarantinedUntil : now - record.lastCrash > recordTime;
        if (isOver && record.quarantinedUntil)
            decisions_.push_back({ fingerprint, false, record.crashed.size() });
        hasChanged_ = hasChanged_ || (isOver && (record.quarantinedUntil || record.verifiedSince));
        return isOver;
    });
}

std::vector<ServerNumber> CrashSuspects::suspectedServers() const
{
    std::vector<ServerNumber> servers;
    std::ranges::transform(suspicions_, std::back_inserter(servers), [](auto const& entry) { return entry.first; });
    return servers;
}

std::vector<std::string> CrashSuspects::suspects() const
{
    std::vector<std::string> result;
    for (auto const& [fingerprint, record] : records_) {
        if (record.verifiedSince)
            result.push_back(fingerprint);
    }
    return result;
}

std::vector<std::string> CrashSuspects::quarantined() const
{
    std::vector<std::string> result;
    for (auto const& [fingerprint, record] : records_) {
        if (record.quarantinedUntil)
            result.push_back(fingerprint);
    }
    return result;
}

} // namespace Fleet
