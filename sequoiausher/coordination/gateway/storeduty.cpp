#include "sequoiausher/coordination/gateway/storeduty.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Sequoiausher {

namespace {

/** A gateway whom the store has not told of targets for so long hears of them from its peers. */
constexpr Millis storeIsSilent{1500};
/** After its first reading a gateway gives its peers so long to be found: four rounds of reports. */
constexpr Millis startRest{1200};
/** What two rounds of reports between hubs take, one of them late. */
constexpr Millis hubRounds{700};
/** How much later the other hubs try than the second one: a round, in which they hear that it reads. */
constexpr Millis hubRound{300};
/** The part of the leave bound that each step from the store to a gateway may add, five of them with the last report.
 */
constexpr std::int64_t leaveParts = 5;
/** The first hub's knowledge is younger than this part of the leave bound. */
constexpr std::int64_t proofParts = 8;
/** A proof is asked for by who rests once two fifths of the time are over in which it opens routes. */
constexpr std::int64_t oldProofParts = 2;
constexpr std::int64_t oldProofPartsOf = 5;
/** A fleet shall call a store that does not answer some ten times a second in all. */
constexpr Millis storePauseOfEach{100};
constexpr Millis shortestTurns{1200};
/** A gateway that alone reaches the store, or alone lost its peers, must hear of a target that leaves in time. */
constexpr Millis longestStorePauseOfAny{4000};
/** Claims that wait for the list; in a storm of changes the oldest ones tell least. */
constexpr std::size_t mostAhead = 32;

Millis ageOf(Millis at, Millis now)
{
    return at == Millis{0} ? Millis::never() : now - at;
}

} // namespace

StoreDuty::StoreDuty(const StoreDutySettings &with, std::uint64_t seed) : settings(with)
{
    std::mt19937_64 random(seed);
    this->place = std::uniform_real_distribution<double>(0, 1)(random);
}

void StoreDuty::setSettings(const StoreDutySettings &with)
{
    this->settings = with;
}

void StoreDuty::answered(Millis at)
{
    this->answeredAt = std::max(this->answeredAt, at);
}

void StoreDuty::storeWasAt(Revision revision, Millis at)
{
    this->take({revision, at, Source::Store});
}

void StoreDuty::listReached(Revision revision)
{
    this->listed = std::max(this->listed, revision);
    std::erase_if(this->ahead, [this](const Claim &claim) {
        const bool isReached = claim.revision <= this->listed;
        if (isReached) {
            this->believe(claim);
        }
        return isReached;
    });
}

void StoreDuty::take(const Claim &claim)
{
    if (claim.revision <= this->listed) {
        this->believe(claim);
        return;
    }
    this->ahead.push_back(claim);
    if (this->ahead.size() > mostAhead) {
        this->ahead.pop_front();
    }
}

void StoreDuty::believe(const Claim &claim)
{
    if (claim.source == Source::Store) {
        this->answered(claim.at);
        return;
    }
    this->knownAt = std::max(this->knownAt, claim.at);
    if (claim.source == Source::BetterHub) {
        this->knownByBetterAt = std::max(this->knownByBetterAt, claim.at);
    }
}

void StoreDuty::readAll(Millis at)
{
    if (this->readAllAt == Millis{0}) {
        this->readAllAt = at;
    }
}

void StoreDuty::heard(const StoreWord &word, Millis now)
{
    if (word.echo == Millis{0} || word.echo > now) {
        return;
    }
    if (word.isFromHub) {
        this->hubHeardAt = std::max(this->hubHeardAt, word.echo);
    }
    const bool isTold = word.isFromHub || word.isFirstHand;
    if (!isTold || word.age >= word.echo) {
        return;
    }
    const bool isBetter = word.isFromHub && word.isFirstHand && word.comesBefore;
    this->take({word.revision, word.echo - word.age, isBetter ? Source::BetterHub : Source::Peer});
}

Millis StoreDuty::firstHubPatience() const
{
    return hubRounds + this->settings.leaveBound / leaveParts;
}

Millis StoreDuty::hubPatience() const
{
    return this->firstHubPatience() + hubRound;
}

Millis StoreDuty::patience() const
{
    return this->hubPatience() + this->settings.leaveBound / leaveParts;
}

Millis StoreDuty::turn(const StoreRole &role) const
{
    const Millis all = std::max(storePauseOfEach * static_cast<std::int64_t>(role.fleetSize), shortestTurns);
    return Millis{std::llround(static_cast<double>(all.count) * this->place)};
}

bool StoreDuty::isHubInTouch(Millis now) const
{
    return ageOf(this->hubHeardAt, now) < this->patience();
}

bool StoreDuty::mayRest(const StoreRole &role, Millis now) const
{
    if (!role.hasHubs) {
        return role.hasPeers && ageOf(this->readAllAt, now) < startRest;
    }
    if (role.hubRank) {
        const Millis known = std::max(this->knownByBetterAt, this->readAllAt);
        return *role.hubRank > 0
            && ageOf(known, now) < (*role.hubRank == 1 ? this->firstHubPatience() : this->hubPatience());
    }
    const Millis age = ageOf(std::max(this->knownAt, this->readAllAt), now);
    // A hub that is in touch and knows nothing tries itself, and so do the others: all at once would not help it.
    return age < this->patience() || (this->isHubInTouch(now) && age < this->patience() + this->turn(role));
}

bool StoreDuty::isFirstHand(Millis now) const
{
    return ageOf(this->answeredAt, now) < storeIsSilent;
}

Millis StoreDuty::knowledgeAge(Millis now) const
{
    return std::min(ageOf(this->answeredAt, now), ageOf(this->knownAt, now));
}

bool StoreDuty::mayTell(Millis now) const
{
    return this->knowledgeAge(now) < this->patience();
}

Millis StoreDuty::longestProofAge(const StoreRole &role, Millis now) const
{
    if (!role.hasHubs && !this->mayRest(role, now)) {
        return this->settings.proofInterval;
    }
    if (!this->mayRest(role, now)) {
        return std::min(this->settings.proofInterval, this->settings.leaveBound / proofParts);
    }
    const Millis old = this->settings.keyFreshness * oldProofParts / oldProofPartsOf;
    return this->isHubInTouch(now) ? old + this->turn(role) : old;
}

Millis StoreDuty::longestPause(const StoreRole &role) const
{
    if (!role.hasHubs || role.hubRank) {
        return usualStorePause;
    }
    const Millis shared = storePauseOfEach * static_cast<std::int64_t>(role.fleetSize);
    return std::clamp(shared, usualStorePause, longestStorePauseOfAny);
}

} // namespace Sequoiausher
