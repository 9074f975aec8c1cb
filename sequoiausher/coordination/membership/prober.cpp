#include "sequoiausher/coordination/membership/prober.h"

#include <algorithm>
#include <map>

namespace Sequoiausher {

namespace {

constexpr std::uint64_t wholePercent = 100;

struct OpenProbe
{
    InstanceId peer;
    Millis deadline;
    bool indirect = false;
};

/** Visits its members in random order, with a new order for each round. */
class Ring
{
public:
    std::vector<InstanceId> members;
    std::size_t position = 0;

    const InstanceId &pickNext(std::mt19937_64 &random)
    {
        if (this->position >= this->members.size()) {
            for (std::size_t i = this->members.size(); i > 1; --i) {
                std::swap(this->members[i - 1], this->members[random() % i]);
            }
            this->position = 0;
        }
        return this->members[this->position++];
    }
};

/** Replaces the members; a ring whose members stay the same keeps its order and position. */
void setMembers(Ring &ring, std::vector<InstanceId> members)
{
    std::vector<InstanceId> before = ring.members;
    std::sort(before.begin(), before.end());
    std::sort(members.begin(), members.end());
    if (before != members) {
        ring.position = members.size();
        ring.members = std::move(members);
    }
}

} // namespace

class Prober::Private
{
public:
    ProberSettings settings;
    Ring near;
    Ring far;
    std::uint32_t periods = 0;
    std::map<std::uint64_t, OpenProbe> open;

    std::vector<InstanceId> pickRelays(const InstanceId &peer, std::mt19937_64 &random) const
    {
        std::vector<InstanceId> others;
        for (const Ring *ring : {&this->near, &this->far}) {
            std::copy_if(ring->members.begin(),
                         ring->members.end(),
                         std::back_inserter(others),
                         [&peer](const InstanceId &other) { return other != peer; });
        }
        const std::size_t count = std::min(this->settings.indirectProbes, others.size());
        for (std::size_t i = 0; i < count; ++i) {
            std::swap(others[i], others[i + random() % (others.size() - i)]);
        }
        others.resize(count);
        return others;
    }
};

Prober::Prober(const ProberSettings &settings) : d(new Private{settings, {}, {}, 0, {}})
{
}
Prober::~Prober() = default;

void Prober::setPeers(std::vector<InstanceId> near, std::vector<InstanceId> far)
{
    setMembers(this->d->near, std::move(near));
    setMembers(this->d->far, std::move(far));
}

std::optional<InstanceId> Prober::pickPeer(std::mt19937_64 &random, const std::vector<InstanceId> &unreachable)
{
    ++this->d->periods;
    if (!unreachable.empty() && this->d->periods % this->d->settings.unreachableProbePeriods == 0) {
        return unreachable[random() % unreachable.size()];
    }
    const bool preferNear
        = random() % wholePercent < static_cast<std::uint64_t>(this->d->settings.ownDataCentrePercent);
    Ring &preferred = preferNear ? this->d->near : this->d->far;
    Ring &other = preferNear ? this->d->far : this->d->near;
    Ring &ring = preferred.members.empty() ? other : preferred;
    if (ring.members.empty()) {
        return std::nullopt;
    }
    return ring.pickNext(random);
}

void Prober::recordProbe(Millis now, std::uint64_t sequence, const InstanceId &peer)
{
    this->d->open[sequence] = OpenProbe{peer, now + this->d->settings.probeTimeout, false};
}

bool Prober::recordReply(std::uint64_t sequence)
{
    return this->d->open.erase(sequence) > 0;
}

std::vector<InstanceId> Prober::tick(Millis now, std::mt19937_64 &random, Outbox &outbox)
{
    std::vector<InstanceId> unanswered;
    for (auto at = this->d->open.begin(); at != this->d->open.end();) {
        auto &[sequence, probe] = *at;
        if (now < probe.deadline) {
            ++at;
            continue;
        }
        if (probe.indirect) {
            unanswered.push_back(probe.peer);
            at = this->d->open.erase(at);
            continue;
        }
        probe.indirect = true;
        probe.deadline = now + this->d->settings.indirectTimeout;
        for (const InstanceId &relay : this->d->pickRelays(probe.peer, random)) {
            outbox.push_back({relay, IndirectProbe{sequence, probe.peer}});
        }
        ++at;
    }
    return unanswered;
}

void Prober::discardOpenProbes()
{
    this->d->open.clear();
}

} // namespace Sequoiausher
