#include <LibNet/AnswerBudget.h>

#include <algorithm>

namespace Net {

HttpClient* AnswerBudget::hold(HttpClient& client, std::size_t bytes, bool hasLength)
{
    auto& held = held_[&client];
    heldBytes_ += bytes - held.bytes;
    held = { !hasLength, bytes };
    if (heldBytes_ <= maxBytes_)
        return nullptr;
    auto const heldOf = [](auto const& entry) { return entry.second; };
    return std::ranges::max_element(held_, {}, heldOf)->first;
}

void AnswerBudget::release(HttpClient& client)
{
    auto const found = held_.find(&client);
    if (found == held_.end())
        return;
    heldBytes_ -= found->second.bytes;
    held_.erase(found);
}

} // namespace Net
