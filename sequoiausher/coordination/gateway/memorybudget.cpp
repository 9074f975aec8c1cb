#include "sequoiausher/coordination/gateway/memorybudget.h"

#include <algorithm>

namespace Sequoiausher {

namespace {

/** The parts that bodies cannot take: that of answers, and that of small bodies. */
constexpr std::size_t answerDenominator = 4;
constexpr std::size_t smallDenominator = 8;
/** Bodies that would wait behind more than this part of the limit would not get their turn in time. */
constexpr std::size_t waitingDenominator = 2;
/**
 * Answers whose targets are held back may exceed the budget by this part of it: each of their connections still holds
 * something.
 */
constexpr std::size_t overrunDenominator = 4;
/** Sources are held back this part of the budget earlier, for what the kernel takes of their answers meanwhile. */
constexpr std::size_t kernelDenominator = 16;
/** A head up to this size is always taken. */
constexpr std::size_t smallHeadBytes = 16384;
/** The limits of one held answer and of the bytes that wait for one receiver, while isTightForAnswers(). */
constexpr std::size_t tightHeldBytes = 65536;
constexpr std::size_t tightUnsentBytes = 16384;

} // namespace

MemoryBudget::MemoryBudget(std::size_t limit, std::uint64_t seed) : most(limit), random(seed)
{
}

void MemoryBudget::setLimit(std::size_t bytes)
{
    this->most = bytes;
    this->grantWaiting();
}

std::size_t MemoryBudget::limit() const
{
    return this->most;
}

const std::shared_ptr<std::size_t> &MemoryBudget::answerTotal() const
{
    return this->answers;
}

std::size_t MemoryBudget::answerPart() const
{
    return this->most / answerDenominator;
}

std::size_t MemoryBudget::smallPart() const
{
    return this->most / smallDenominator;
}

std::size_t MemoryBudget::largePart() const
{
    return this->most - this->answerPart() - this->smallPart();
}

bool MemoryBudget::isTightForAnswers() const
{
    const std::size_t reserved = std::max(this->bodyBytes(), this->smallPart()) + this->most / kernelDenominator;
    return this->most > 0 && *this->answers > this->answerPart() && *this->answers + reserved > this->most;
}

std::size_t MemoryBudget::answerLimit() const
{
    const std::size_t reserved = std::max(this->bodyBytes(), this->smallPart());
    const std::size_t hardLimit = this->most + this->most / overrunDenominator;
    return hardLimit - std::min(reserved, hardLimit);
}

std::size_t MemoryBudget::overrun() const
{
    const std::size_t limit = this->answerLimit();
    return this->most > 0 && *this->answers > limit ? *this->answers - limit : 0;
}

bool MemoryBudget::hasRoomForHead(std::size_t bytes) const
{
    return this->most == 0 || bytes <= smallHeadBytes || *this->answers + bytes <= this->answerLimit();
}

std::size_t MemoryBudget::heldAnswerBound(std::size_t usual) const
{
    return this->isTightForAnswers() ? std::min(usual, tightHeldBytes) : usual;
}

std::size_t MemoryBudget::unsentBound(std::size_t usual) const
{
    return this->isTightForAnswers() ? std::min(usual, tightUnsentBytes) : usual;
}

std::size_t MemoryBudget::bodyBytes() const
{
    return this->smallBytes + this->largeBytes;
}

std::size_t MemoryBudget::answerBytes() const
{
    return *this->answers;
}

std::size_t MemoryBudget::waitingBodies() const
{
    return this->waiting.size();
}

bool MemoryBudget::fitsSmall(std::size_t additional) const
{
    if (this->smallBytes + additional <= this->smallPart()) {
        return true;
    }
    const std::size_t others = std::max(*this->answers, this->answerPart()) + this->largeBytes;
    return this->waiting.empty() && others + this->smallBytes + additional <= this->most;
}

bool MemoryBudget::fitsLarge(const BodyReservation &body, std::size_t bytes) const
{
    const bool wasLarge = body.granted > smallBodyBytes;
    const std::size_t large = this->largeBytes - (wasLarge ? body.granted : 0);
    const std::size_t small = this->smallBytes - (wasLarge ? 0 : body.granted);
    const std::size_t others = std::max(*this->answers, this->answerPart()) + std::max(small, this->smallPart());
    return others + large + bytes <= this->most;
}

void MemoryBudget::grant(BodyReservation &body, std::size_t bytes)
{
    (body.granted > smallBodyBytes ? this->largeBytes : this->smallBytes) -= body.granted;
    body.granted = bytes;
    (body.granted > smallBodyBytes ? this->largeBytes : this->smallBytes) += body.granted;
}

BodyAdmission MemoryBudget::admit(BodyReservation &body, std::size_t bytes, Millis now)
{
    if (bytes <= body.granted) {
        return BodyAdmission::Granted;
    }
    body.wanted = bytes;
    if (this->most == 0) {
        this->grant(body, bytes);
        return BodyAdmission::Granted;
    }
    if (bytes <= smallBodyBytes) {
        if (!this->fitsSmall(bytes - body.granted)) {
            return BodyAdmission::Refused;
        }
        this->grant(body, bytes);
        return BodyAdmission::Granted;
    }
    if (bytes > this->largePart()) {
        return BodyAdmission::TooLarge;
    }
    if (this->waiting.empty() && this->fitsLarge(body, bytes)) {
        this->grant(body, bytes);
        return BodyAdmission::Granted;
    }
    if (!this->makeWaitingRoom(bytes)) {
        return BodyAdmission::Refused;
    }
    body.isWaiting = true;
    body.waitsSince = now;
    this->waitingBytes += bytes;
    this->waiting.push_back(&body);
    return BodyAdmission::Waits;
}

BodyAdmission MemoryBudget::check(BodyReservation &body, Millis now)
{
    this->grantWaiting();
    if (!body.isWaiting) {
        return body.granted >= body.wanted ? BodyAdmission::Granted : BodyAdmission::Refused;
    }
    if (now - body.waitsSince < maxWait) {
        return BodyAdmission::Waits;
    }
    this->stopWaiting(body);
    this->grantWaiting();
    return BodyAdmission::Refused;
}

void MemoryBudget::stopWaiting(BodyReservation &body)
{
    if (body.isWaiting) {
        body.isWaiting = false;
        this->waitingBytes -= body.wanted;
        std::erase(this->waiting, &body);
    }
}

bool MemoryBudget::makeWaitingRoom(std::size_t bytes)
{
    while (this->waitingBytes + bytes > this->most / waitingDenominator) {
        std::uniform_int_distribution<std::size_t> any(0, this->waiting.size());
        const std::size_t drawn = any(this->random);
        if (drawn == this->waiting.size()) {
            return false;
        }
        this->stopWaiting(*this->waiting[drawn]);
    }
    return true;
}

void MemoryBudget::grantWaiting()
{
    while (!this->waiting.empty()) {
        BodyReservation &first = *this->waiting.front();
        if (this->most > 0 && !this->fitsLarge(first, first.wanted)) {
            return;
        }
        this->stopWaiting(first);
        this->grant(first, first.wanted);
    }
}

void MemoryBudget::release(BodyReservation &body)
{
    this->stopWaiting(body);
    this->grant(body, 0);
    this->grantWaiting();
}

BodyReservation::BodyReservation(MemoryBudget &of) : budget(of)
{
}

BodyReservation::~BodyReservation()
{
    this->budget.release(*this);
}

BodyAdmission BodyReservation::reserve(std::size_t bytes, Millis now)
{
    return this->budget.admit(*this, bytes, now);
}

BodyAdmission BodyReservation::check(Millis now)
{
    return this->budget.check(*this, now);
}

std::size_t BodyReservation::bytes() const
{
    return this->granted;
}

} // namespace Sequoiausher
