#include "sequoiausher/coordination/gateway/prefixdirectory.h"

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Sequoiausher {

namespace {

/** A part in steady use is told again after this part of its life, so that peers do not forget it. */
constexpr std::int64_t retellParts = 4;
/** The most placements in one report; the rest waits for the next. */
constexpr std::size_t mostNews = 256;
/** News that are kept for peers that ask rarely; older ones are told again when they are a quarter of their life old.
 */
constexpr std::size_t keptNews = 2048;

struct NewsItem
{
    GatewayPlacement placement;
    InstanceId from;
    NewsScope scope = NewsScope::Own;
};

struct Holder
{
    TargetId target;
    Millis usedAt;
    /** When peers last heard of it; absent before the first time. */
    std::optional<Millis> toldAt;
};

struct Entry
{
    std::uint64_t part = 0;
    std::vector<Holder> holders;
};

} // namespace

class PrefixDirectory::Private
{
public:
    using Order = std::list<Entry>;

    Entry &touch(std::uint64_t part)
    {
        const auto found = this->places.find(part);
        if (found != this->places.end()) {
            this->order.splice(this->order.begin(), this->order, found->second);
            return *found->second;
        }
        this->order.push_front({part, {}});
        this->places.emplace(part, this->order.begin());
        if (this->places.size() > this->settings.mostParts) {
            this->places.erase(this->order.back().part);
            this->order.pop_back();
        }
        return this->order.front();
    }

    Holder &holderOf(Entry &entry, const TargetId &target, Millis now)
    {
        std::erase_if(entry.holders, [this, now](const Holder &h) { return now - h.usedAt > this->settings.life; });
        const auto found = std::find_if(
            entry.holders.begin(), entry.holders.end(), [&target](const Holder &h) { return h.target == target; });
        if (found != entry.holders.end()) {
            return *found;
        }
        if (entry.holders.size() >= this->settings.mostHolders) {
            const auto oldest = std::min_element(entry.holders.begin(),
                                                 entry.holders.end(),
                                                 [](const Holder &a, const Holder &b) { return a.usedAt < b.usedAt; });
            entry.holders.erase(oldest);
        }
        return entry.holders.emplace_back(Holder{target, now, std::nullopt});
    }

    PrefixDirectorySettings settings;
    /** The part that was asked for last stands first. */
    Order order;
    std::unordered_map<std::uint64_t, Order::iterator> places;
    void tell(NewsItem item)
    {
        this->news.push_back(std::move(item));
        if (this->news.size() > keptNews) {
            this->news.pop_front();
            this->firstNews += 1;
        }
    }

    std::deque<NewsItem> news;
    /** The number of the oldest item in news. */
    std::uint64_t firstNews = 0;
    /** The number of the next item for each peer. */
    std::map<InstanceId, std::uint64_t> nextFor;
};

PrefixDirectory::PrefixDirectory(const PrefixDirectorySettings &settings) : d(std::make_unique<Private>())
{
    this->d->settings = settings;
}

PrefixDirectory::~PrefixDirectory() = default;

void PrefixDirectory::sent(std::uint64_t part, const TargetId &target, Millis now)
{
    Holder &holder = this->d->holderOf(this->d->touch(part), target, now);
    holder.usedAt = now;
    const bool isNews = !holder.toldAt || now - *holder.toldAt > this->d->settings.life / retellParts;
    if (isNews) {
        holder.toldAt = now;
        this->d->tell({{part, target}, {}, NewsScope::Own});
    }
}

void PrefixDirectory::heard(const InstanceId &peer,
                            std::uint64_t part,
                            const TargetId &target,
                            Millis now,
                            NewsScope isPassedOn)
{
    Holder &holder = this->d->holderOf(this->d->touch(part), target, now);
    holder.usedAt = now;
    // Whoever told this told everybody, or this gateway does.
    holder.toldAt = now;
    if (isPassedOn != NewsScope::Own) {
        this->d->tell({{part, target}, peer, isPassedOn});
    }
}

void PrefixDirectory::dropped(std::uint64_t part, const TargetId &target)
{
    const auto found = this->d->places.find(part);
    if (found != this->d->places.end()) {
        std::erase_if(found->second->holders, [&target](const Holder &h) { return h.target == target; });
    }
}

std::vector<TargetId> PrefixDirectory::holders(std::uint64_t part, Millis now) const
{
    std::vector<TargetId> targets;
    const auto found = this->d->places.find(part);
    if (found == this->d->places.end()) {
        return targets;
    }
    for (const Holder &holder : found->second->holders) {
        if (now - holder.usedAt <= this->d->settings.life) {
            targets.push_back(holder.target);
        }
    }
    return targets;
}

std::vector<GatewayPlacement> PrefixDirectory::newsFor(const InstanceId &peer, NewsScope scope)
{
    std::vector<GatewayPlacement> told;
    std::uint64_t &next = this->d->nextFor[peer];
    next = std::max(next, this->d->firstNews);
    while (next < this->d->firstNews + this->d->news.size() && told.size() < mostNews) {
        const NewsItem &item = this->d->news[next - this->d->firstNews];
        next += 1;
        if (item.scope <= scope && item.from != peer) {
            told.push_back(item.placement);
        }
    }
    return told;
}

std::size_t PrefixDirectory::size() const
{
    return this->d->places.size();
}

} // namespace Sequoiausher
