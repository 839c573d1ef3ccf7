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
    /// Maximum number of records. Claims of new orders are rejected beyond it.
    std::size_t maxRecords { 200'000 };
    /// Maximum total size of the stored responses, in bytes. Beyond it an order is completed without its response.
    std::size_t maxAnswerBytes { 64UL * 1024 * 1024 };
    /// Minimum time for which a record is kept after its claim.
    Core::Duration retention { std::chrono::hours(24) };
    /// Time for which an abandoned attempt is recorded, so that its delayed claim cannot claim the order again.
    Core::Duration abandonedRetention { std::chrono::minutes(10) };

    bool operator==(LedgerLimits const&) const = default;
};

/// Progress of the recorded attempt of an order.
enum class OrderPhase : std::uint8_t { Claimed, Completed, Unknown, Abandoned };

/// The attempt that claimed an order, and its outcome.
struct OrderRecord {
    Core::Digest fingerprint;
    Core::RequestId requestId;
    Core::HostName host;
    Core::Incarnation incarnation;
    OrderPhase phase { OrderPhase::Claimed };
    /// Time of the record on the state's clock.
    Core::Duration recordedAt { 0 };
    std::optional<KeptAnswer> answer;

    bool operator==(OrderRecord const&) const = default;
};

/// Records the first attempt and the outcome of each order, so that a resend does not run an order again. Section 3.7
/// of the design page describes the protocol.
class Ledger {
public:
    explicit Ledger(LedgerLimits limits = {})
        : limits_(limits)
    {
    }

    /// Claims an order for one attempt. The caller must have checked that the claiming entry host is in the view.
    ClaimOutcome claim(ClaimOrder const&, Core::Duration now);
    /// Records that an order ran. False when the recorded attempt is another one or was abandoned.
    bool complete(CompleteOrder const&);
    /// Releases the claim of an attempt that was not run. False when the recorded attempt is another one, has
    /// completed or is unknown; an attempt on a new key is recorded as abandoned, but returns false as well.
    bool abandon(AbandonOrder const&, Core::Duration now);
    /// Marks the outcome as unknown. False when the recorded attempt is another one, has completed or was abandoned.
    bool markUnknown(MarkOrderUnknown const&);
    /// Marks the open claims of a removed entry host as unknown, since only that host knows whether they ran.
    void markUnknownClaimsOf(Core::HostName const&);
    /// Drops records past their retention.
    void expire(Core::Duration now);
    LedgerLimits const& limits() const { return limits_; }

    OrderRecord const* find(OrderKey const&) const;
    std::size_t size() const { return records_.size(); }
    std::size_t answerBytes() const { return answerBytes_; }

    /// Calls `visit(key, record)` for each record, oldest first.
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

    /// Inserts or replaces a record and makes it the newest one.
    void put(OrderKey const&, OrderRecord);
    void erase(Records::iterator);
    void closeClaim(OrderKey const&, OrderRecord&, OrderPhase);
    OrderRecord* findAttempt(OrderKey const&, Core::RequestId);
    void dropObsolete();
    void expireQueue(std::deque<OrderedKey>&, Core::Duration before);

    LedgerLimits limits_;
    Records records_;
    /// Keys of the records, oldest first. An entry is obsolete when its sequence number differs from the record's.
    std::deque<OrderedKey> order_;
    std::deque<OrderedKey> abandoned_;
    std::unordered_map<Core::HostName, std::set<OrderKey>> openClaims_;
    std::size_t answerBytes_ { 0 };
    std::uint64_t nextSequence_ { 1 };
};

} // namespace Control
