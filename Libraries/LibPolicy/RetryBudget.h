#pragma once

#include <LibPolicy/DispatchSettings.h>

namespace Policy {

/// Bounds the load that retries and hedges add.
class RetryBudget {
public:
    virtual ~RetryBudget() = default;
    /// A first attempt was granted.
    virtual void onFirstAttempt() = 0;
    /// Whether an additional attempt is within the budget. Charges it when it is.
    virtual bool charge() = 0;
    /// A charged attempt was not granted after all.
    virtual void refund() = 0;
};

/// Baseline: no bound.
class UnlimitedRetries final : public RetryBudget {
public:
    void onFirstAttempt() override { }
    bool charge() override { return true; }
    void refund() override { }
};

/// Additional attempts up to a ratio of the first attempts. Nothing is credited in advance, so the ratio holds from the
/// first request on.
class TokenRetryBudget final : public RetryBudget {
public:
    explicit TokenRetryBudget(RetrySettings const&);

    void onFirstAttempt() override;
    bool charge() override;
    void refund() override;

private:
    RetrySettings settings_;
    double saved_ { 0 };
};

} // namespace Policy
