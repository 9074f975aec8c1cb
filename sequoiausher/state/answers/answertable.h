#pragma once

// The answers to requests that run or ran at this router, by request and by claim key. A retry with the same key gets
// the answer of the first attempt and does not run again.
//
//     const StartResult started = answers.start(now, request, key, bodyDigest);
//     if (started.verdict == StartVerdict::Joined) {
//         // another request of this router has the same key: follow its answer
//         AnswerCursor cursor = *answers.attach(started.attempt, wake);
//     }
//     answers.setHead(request, {200, "text/event-stream"});
//     answers.append(request, chunk);                          // as it streams
//     answers.finish(now, request, AnswerState::Complete, "");
//     const AnswerPart part = answers.read(cursor, 65536);     // from the first byte, at the reader's own speed
//
// This table serves retries; it does not decide whether a request may run. The claim of a dropped answer remains at the
// witnesses, so a retry is then refused because the outcome is unknown.
//
// A planned stop hands the kept() answers over to other routers, which keep() them; see coordination/answers.
//
// Memory: everything that is stored counts against totalBytes. The oldest ended answers are dropped first. If a running
// answer exceeds its own limit, or no room can be made for it, its bytes are dropped and it is marked as not
// replayable. Its record stays while it runs, so the table may exceed totalBytes by answerOverheadBytes for each
// running answer.

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/state/answers/keptanswer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** The state of an answer. */
enum class AnswerState {
    Running,
    /** Complete, including its end mark. */
    Complete,
    /** It ended without its end mark. */
    Broken,
    /** Abandoned before dispatch, so the request certainly did not run. */
    NotRun,
    /** The request runs or ran, but the bytes from the reader's position on are not stored. */
    NotReplayable,
};

template<>
inline constexpr auto nameTable<AnswerState> = std::to_array<NameEntry<AnswerState>>({
    {AnswerState::Running, "running"},
    {AnswerState::Complete, "complete"},
    {AnswerState::Broken, "broken"},
    {AnswerState::NotRun, "not-run"},
    {AnswerState::NotReplayable, "not-replayable"},
});

/** The result of start(). */
enum class StartVerdict {
    /** The request is the first one with its key at this router; it may claim the key. */
    Started,
    /** Another request of this router has the same key: attach to its answer. */
    Joined,
    /** Another request of this router has the same key, but a different body. */
    BodyDiffers,
};

/** The verdict; with Joined and BodyDiffers also the request that has the key. */
struct StartResult
{
    StartVerdict verdict = StartVerdict::Started;
    RequestId attempt;
};

/** A reader's position in one answer. */
struct AnswerCursor
{
    std::uint64_t reader = 0;
    std::uint64_t offset = 0;
};

/** The result of read(). */
struct AnswerPart
{
    /** An end state is reported only after every byte before it was read. */
    AnswerState state = AnswerState::NotReplayable;
    /** Set in every part from when the head has arrived. */
    std::optional<AnswerHead> head;
    /** The bytes from offset on; empty if none have arrived yet. */
    std::uint64_t offset = 0;
    std::string bytes;
    /** With Broken: the reason. */
    std::string reason;
};

/** Limits of the table. */
struct AnswerSettings
{
    std::size_t totalBytes = std::size_t{64} << 20;
    std::size_t bytesPerAnswer = std::size_t{4} << 20;
    /** How long an answer is stored after its end. */
    Millis keepFor{300000};
};

/** The bytes that an answer counts for besides its body: its record and its entries in the indexes. */
inline constexpr std::size_t answerOverheadBytes = 512;

/** The table. Thread-safe; its lock has LockRank::Answers. */
class AnswerTable
{
public:
    /**
     * Called when an answer that is followed has more to read. It is called on the thread that appended, without the
     * table's lock, and possibly once more after detach(). It should only post an event to the reader's own loop.
     */
    using Wake = std::function<void()>;

    explicit AnswerTable(const AnswerSettings &settings);
    ~AnswerTable();

    /**
     * Records that a request begins. A request without a key cannot be joined, but its stream can be followed by its
     * id.
     * @throws std::invalid_argument if the request is in the table already.
     */
    StartResult
    start(Millis now, const RequestId &request, const std::optional<ClaimKey> &key, std::uint64_t bodyDigest);

    /** Records the head. Has no effect on an answer that has ended or is unknown. */
    void setHead(const RequestId &request, const AnswerHead &head);
    /** Appends to the body. @return false if the answer is not replayable any more, has ended or is unknown. */
    bool append(const RequestId &request, std::string_view bytes);
    /**
     * Records the end of the answer. The state is Complete, Broken, or NotRun, which releases the key at once for the
     * next attempt. Only the first call has an effect.
     */
    void finish(Millis now, const RequestId &request, AnswerState state, const std::string &reason);

    /** The request that has the key at this router, in any state; std::nullopt if there is none. */
    std::optional<RequestId> find(const ClaimKey &key) const;
    /** Follows an answer from its start until detach(); std::nullopt if the answer is unknown here. */
    std::optional<AnswerCursor> attach(const RequestId &request, Wake wake);
    std::optional<AnswerCursor> attach(const ClaimKey &key, Wake wake);
    /** Reads up to maxBytes from the cursor on, and moves the cursor behind them. */
    AnswerPart read(AnswerCursor &cursor, std::size_t maxBytes);
    /** Stops following. */
    void detach(const AnswerCursor &cursor);

    /**
     * Marks the answer of the request as a copy that is read from another router. It is stored for retries at this
     * router, but not handed over, because no claim names it.
     */
    void setCopy(const RequestId &request);
    /** The complete answers to keyed requests that ran here or were handed over, the last ended first. */
    std::vector<KeptAnswer> kept(Millis now) const;
    /** Up to maxBytes of the body of a stored answer; empty if it is not stored any more. */
    std::string bytesOf(const RequestId &request, std::uint64_t offset, std::size_t maxBytes) const;
    /**
     * Stores an answer that another router hands over, for the rest of its storage time. If another request has the key
     * at this router, that remains so; the answer can then be found by its attempt. A known attempt is not changed.
     * @return false if the answer is not complete, too old or too large, or older than all answers that fit.
     */
    bool keep(Millis now, const KeptAnswer &answer, std::string body);

    /** Drops the answers whose storage time has passed. */
    void tick(Millis now);
    /** When tick() has something to do next; Millis::never() if nothing is stored. */
    Millis nextDeadline() const;

    /** The bytes that count against totalBytes. */
    std::size_t usedBytes() const;
    std::size_t count() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
