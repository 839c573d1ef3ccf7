#include <LibPolicy/RetryBudget.h>

#include <algorithm>

namespace Policy {

TokenRetryBudget::TokenRetryBudget(RetrySettings const& settings)
    : settings_(settings)
{
}

void TokenRetryBudget::onFirstAttempt()
{
    tokens_ = std::min(tokens_ + settings_.budgetRatio, settings_.maxSavedAttempts);
}

bool TokenRetryBudget::charge()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void TokenRetryBudget::refund() { tokens_ = std::min(tokens_ + 1, settings_.maxSavedAttempts); }

} // namespace Policy
