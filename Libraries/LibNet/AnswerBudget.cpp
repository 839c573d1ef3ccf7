#include <LibNet/AnswerBudget.h>

#include <algorithm>

namespace Net {

HttpClient* AnswerBudget::hold(HttpClient& client, std::size_t bytes)
{
    auto& held = held_[&client];
    heldBytes_ += bytes - held;
    held = bytes;
    if (heldBytes_ <= maxBytes_)
        return nullptr;
    auto const bytesOf = [](auto const& entry) { return entry.second; };
    return std::ranges::max_element(held_, {}, bytesOf)->first;
}

void AnswerBudget::release(HttpClient& client)
{
    auto const found = held_.find(&client);
    if (found == held_.end())
        return;
    heldBytes_ -= found->second;
    held_.erase(found);
}

} // namespace Net
