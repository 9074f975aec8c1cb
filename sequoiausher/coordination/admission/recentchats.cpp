#include "sequoiausher/coordination/admission/recentchats.h"

#include <algorithm>
#include <list>
#include <unordered_map>

namespace Sequoiausher {

namespace {

struct Placement
{
    std::uint64_t chat;
    TargetId target;
};

} // namespace

class RecentChats::Private
{
public:
    std::size_t capacity = 1;
    /** Latest first. */
    std::list<Placement> order;
    std::unordered_map<std::uint64_t, std::list<Placement>::iterator> byChat;
};

RecentChats::RecentChats(std::size_t capacity) : d(std::make_unique<Private>())
{
    this->d->capacity = std::max(capacity, std::size_t{1});
}

RecentChats::~RecentChats() = default;

void RecentChats::recordPlacement(std::uint64_t chatHash, const TargetId &target)
{
    const auto known = this->d->byChat.find(chatHash);
    if (known != this->d->byChat.end()) {
        this->d->order.splice(this->d->order.begin(), this->d->order, known->second);
        known->second->target = target;
        return;
    }
    this->d->order.push_front(Placement{chatHash, target});
    this->d->byChat[chatHash] = this->d->order.begin();
    if (this->d->order.size() > this->d->capacity) {
        this->d->byChat.erase(this->d->order.back().chat);
        this->d->order.pop_back();
    }
}

const TargetId *RecentChats::find(std::uint64_t chatHash) const
{
    const auto known = this->d->byChat.find(chatHash);
    return known == this->d->byChat.end() ? nullptr : &known->second->target;
}

} // namespace Sequoiausher
