#include <LibPolicy/RetryBudget.h>

#include <algorithm>

namespace Policy {

TokenRetryBudget::TokenRetryBudget(RetrySettings const& settings)
    : settings_(settings)
{
}

void TokenRetryBudget::onFirstAttempt()
{
    saved_ = std::min(saved_ + settings_.budgetRatio, settings_.maxSavedAttempts);
}

bool TokenRetryBudget::charge()
{
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

void TokenRetryBudget::refund() { saved_ = std::min(saved_ + 1, settings_.maxSavedAttempts); }

} // namespace Policy
