#pragma once

#include <LibControl/Outcome.h>

#include <deque>
#include <set>
#include <unordered_map>

namespace Control {

struct OrderKeyHash {
    std::size_t operator()(OrderKey const&) const;
};

struct LedgerLimits {
    std::size_t maxRecords { 200'000 };
    /// Total bytes of kept answers. Beyond it an order is completed without its answer.
    std::size_t maxAnswerBytes { 64UL * 1024 * 1024 };
    /// A record lives at least this long after its claim.
    Core::Duration retention { std::chrono::hours(24) };
    /// An abandoned attempt is remembered so that its delayed claim cannot revive it.
    Core::Duration abandonedRetention { std::chrono::minutes(10) };

    bool operator==(LedgerLimits const&) const = default;
};

enum class OrderPhase : std::uint8_t { Claimed, Completed, Unknown, Abandoned };

struct OrderRecord {
    Core::Digest fingerprint;
    Core::RequestId requestId;
    Core::HostName host;
    Core::Incarnation incarnation;
    OrderPhase phase { OrderPhase::Claimed };
    /// On the state's own clock.
    Core::Duration recordedAt { 0 };
    std::optional<KeptAnswer> answer;

    bool operator==(OrderRecord const&) const = default;
};

/// First attempt and outcome of each order. See section 3.7 of the design page.
class Ledger {
public:
    explicit Ledger(LedgerLimits limits = {})
        : limits_(limits)
    {
    }

    /// The caller has checked that the claiming entry host is live.
    ClaimOutcome claim(ClaimOrder const&, Core::Duration now);
    bool complete(CompleteOrder const&);
    bool abandon(AbandonOrder const&, Core::Duration now);
    bool markUnknown(MarkOrderUnknown const&);
    /// Claims of a removed entry host: nobody can tell any more whether they ran.
    void markUnknownClaimsOf(Core::HostName const&);
    void expire(Core::Duration now);
    LedgerLimits const& limits() const { return limits_; }

    OrderRecord const* find(OrderKey const&) const;
    std::size_t size() const { return records_.size(); }
    std::size_t answerBytes() const { return answerBytes_; }

    /// Calls `visit(key, record)` in order of recording.
    template <typename Visit> void forEach(Visit&& visit) const
    {
        for (auto const& entry : order_) {
            auto const found = records_.find(entry.key);
            if (found != records_.end() && found->second.sequence == entry.sequence)
                visit(found->first, found->second.record);
        }
    }
    /// Appends a record from a snapshot. False when the key is already present.
    bool restoreRecord(OrderKey const&, OrderRecord);

private:
    struct Entry {
        OrderRecord record;
        std::uint64_t sequence { 0 };
    };
    struct OrderedKey {
        OrderKey key;
        std::uint64_t sequence { 0 };
        Core::Duration recordedAt { 0 };
    };
    using Records = std::unordered_map<OrderKey, Entry, OrderKeyHash>;

    /// Inserts or replaces, as the newest record.
    void put(OrderKey const&, OrderRecord);
    void erase(Records::iterator);
    void closeClaim(OrderKey const&, OrderRecord&, OrderPhase);
    OrderRecord* findAttempt(OrderKey const&, Core::RequestId);
    void dropObsolete();
    void expireQueue(std::deque<OrderedKey>&, Core::Duration before);

    LedgerLimits limits_;
    Records records_;
    /// In order of recording. An entry whose sequence differs from the record's is obsolete.
    std::deque<OrderedKey> order_;
    std::deque<OrderedKey> abandoned_;
    std::unordered_map<Core::HostName, std::set<OrderKey>> openClaims_;
    std::size_t answerBytes_ { 0 };
    std::uint64_t nextSequence_ { 1 };
};

} // namespace Control
