#pragma once

#include <LibPolicy/DispatchSettings.h>

namespace Policy {

/// Limits the additional load of retries and hedges.
class RetryBudget {
public:
    virtual ~RetryBudget() = default;
    /// Records that a first attempt was granted.
    virtual void onFirstAttempt() = 0;
    /// Charges an additional attempt to the budget. Returns false, without a charge, when the budget is exhausted.
    virtual bool charge() = 0;
    /// Returns the charge of an attempt that was not granted.
    virtual void refund() = 0;
};

/// Baseline: never exhausted.
class UnlimitedRetries final : public RetryBudget {
public:
    void onFirstAttempt() override { }
    bool charge() override { return true; }
    void refund() override { }
};

/// Token bucket that allows additional attempts up to a ratio of the first attempts. The bucket starts empty, so the
/// ratio holds from the first request on.
class TokenRetryBudget final : public RetryBudget {
public:
    explicit TokenRetryBudget(RetrySettings const&);

    void onFirstAttempt() override;
    bool charge() override;
    void refund() override;

private:
    RetrySettings settings_;
    double tokens_ { 0 };
};

} // namespace Policy
