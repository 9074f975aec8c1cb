#include "sequoiausher/coordination/gateway/connectionledger.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>

namespace Sequoiausher {

namespace {

/** Beyond this time what happened earlier counts half. */
constexpr Millis memoryTime{4000};

/** Returns for how long the caller would need for what its connection holds, in milliseconds. */
double drainTime(const ConnectionAccount &account, Millis now)
{
    const Millis heldFor = account.heldFor + (now - account.updatedAt);
    const auto held = static_cast<double>(account.held.total());
    return held * static_cast<double>(heldFor.count) / static_cast<double>(account.takenBytes + 1);
}

} // namespace

void ConnectionLedger::add(Number number, Millis now)
{
    const auto [added, isNew] = this->accounts.try_emplace(number);
    if (isNew) {
        added->second.usedSince = now;
        added->second.updatedAt = now;
        added->second.tookAt = now;
        this->order.insert({{added->second.use, now}, number});
    }
}

void ConnectionLedger::remove(Number number)
{
    const auto found = this->accounts.find(number);
    if (found != this->accounts.end()) {
        this->order.erase({{found->second.use, found->second.usedSince}, number});
        this->accounts.erase(found);
    }
}

void ConnectionLedger::setUse(Number number, ConnectionUse use, Millis now)
{
    const auto found = this->accounts.find(number);
    if (found == this->accounts.end() || found->second.use == use) {
        return;
    }
    ConnectionAccount &account = found->second;
    this->order.erase({{account.use, account.usedSince}, number});
    account.use = use;
    account.usedSince = now;
    this->order.insert({{use, now}, number});
}

void ConnectionLedger::setHeld(Number number, const HeldBytes &held, std::size_t taken, Millis now)
{
    const auto found = this->accounts.find(number);
    if (found == this->accounts.end()) {
        return;
    }
    ConnectionAccount &account = found->second;
    if (account.held.total() > 0) {
        account.heldFor = account.heldFor + (now - account.updatedAt);
        account.takenBytes += taken;
    } else {
        account.heldFor = Millis{0};
        account.takenBytes = 0;
    }
    if (account.heldFor > memoryTime) {
        account.heldFor = Millis{account.heldFor.count / 2};
        account.takenBytes /= 2;
    }
    if (taken > 0 || account.held.unread == 0) {
        account.tookAt = now;
    }
    account.held = held;
    account.updatedAt = now;
}

bool ConnectionLedger::hasStalled(Number number, Millis now) const
{
    const auto found = this->accounts.find(number);
    return found != this->accounts.end() && found->second.held.unread > 0 && now - found->second.tookAt >= stalledTime;
}

std::size_t ConnectionLedger::size() const
{
    return this->accounts.size();
}

std::optional<ConnectionAccount> ConnectionLedger::account(Number number) const
{
    const auto found = this->accounts.find(number);
    return found != this->accounts.end() ? std::optional(found->second) : std::nullopt;
}

std::optional<ConnectionLedger::Place> ConnectionLedger::oldestOf(ConnectionUse use) const
{
    const auto found = this->order.lower_bound({{use, Millis{std::numeric_limits<std::int64_t>::min()}}, 0});
    return found != this->order.end() && found->first.first == use ? std::optional(*found) : std::nullopt;
}

std::optional<ConnectionLedger::Number> ConnectionLedger::yieldsDescriptor(Millis now) const
{
    for (const ConnectionUse use :
         {ConnectionUse::Closing, ConnectionUse::Silent, ConnectionUse::Head, ConnectionUse::Stalled}) {
        const std::optional<Place> oldest = this->oldestOf(use);
        const bool mayMove = use == ConnectionUse::Silent || use == ConnectionUse::Head;
        if (oldest && (!mayMove || now - oldest->first.second >= stalledTime)) {
            return oldest->second;
        }
    }
    // The rest of a request may be on its way, on a connection without any of it as well: the newest is the last.
    const std::optional<Place> silent = this->oldestOf(ConnectionUse::Silent);
    const std::optional<Place> head = this->oldestOf(ConnectionUse::Head);
    if (silent && (!head || silent->first.second <= head->first.second)) {
        return silent->second;
    }
    if (head) {
        return head->second;
    }
    for (const ConnectionUse use : {ConnectionUse::Body, ConnectionUse::Kept, ConnectionUse::Unread}) {
        if (const std::optional<Place> oldest = this->oldestOf(use)) {
            return oldest->second;
        }
    }
    return std::nullopt;
}

std::vector<ConnectionLedger::Number> ConnectionLedger::yieldMemory(std::size_t bytes, Millis now) const
{
    std::vector<std::pair<double, Number>> holders;
    for (const auto &[number, account] : this->accounts) {
        const bool onlyWaits = account.use == ConnectionUse::InUse && account.held.unread == 0;
        if (account.held.total() > 0 && !onlyWaits) {
            holders.emplace_back(drainTime(account, now), number);
        }
    }
    std::sort(holders.begin(), holders.end(), std::greater<>());
    std::vector<Number> yielding;
    std::size_t freed = 0;
    for (const auto &[time, number] : holders) {
        if (freed >= bytes) {
            break;
        }
        freed += this->accounts.at(number).held.total();
        yielding.push_back(number);
    }
    return yielding;
}

} // namespace Sequoiausher
