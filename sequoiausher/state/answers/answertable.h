#pragma once

// The answers that this router runs or keeps, by request and by claim key, so that a retry under the same key is
// given the answer of the first attempt and never a second run.
//
//     const StartResult started = answers.start(now, request, key, bodyDigest);
//     if (started.verdict == StartVerdict::Joined) {
//         // another request of this router runs under the key: follow it
//         AnswerCursor cursor = *answers.attach(started.attempt, wake);
//     }
//     answers.setHead(request, {200, "text/event-stream"});
//     answers.append(request, chunk);                          // as it streams
//     answers.finish(now, request, AnswerState::Complete, "");
//     const AnswerPart part = answers.read(cursor, 65536);     // from the first byte, at the reader's pace
//
// This table saves work and serves retries; it does not decide that something may run. What it has dropped is still
// claimed at the witnesses, so a retry then hears that the outcome is unknown.
//
// A planned stop takes kept() answers to other routers, which keep() them; see coordination/answers.
//
// Memory: all that is kept counts against totalBytes. The oldest ended answers go first. A running answer that
// outgrows its own bound, or for which no room can be made, drops its bytes, stops being replayable and says so. Its
// record stays while it runs, so the table may exceed totalBytes by answerOverheadBytes for each running answer.

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

/** Where an answer stands. */
enum class AnswerState {
    Running,
    /** Whole, to its end mark. */
    Complete,
    /** It ended without its end mark. */
    Broken,
    /** Given up before dispatch: it surely did not run. */
    NotRun,
    /** It runs or ran, but its bytes are not kept from the reader's place on. */
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

/** What start() found. */
enum class StartVerdict {
    /** The request is the first of its key here; it may go on to claim the key. */
    Started,
    /** Another request of this router has the key: attach to it. */
    Joined,
    /** Another request of this router has the key with a different body. */
    BodyDiffers,
};

/** The verdict; with Joined and BodyDiffers also whose the key is. */
struct StartResult
{
    StartVerdict verdict = StartVerdict::Started;
    RequestId attempt;
};

/** A reader's place in one answer. */
struct AnswerCursor
{
    std::uint64_t reader = 0;
    std::uint64_t offset = 0;
};

/** What read() gives. */
struct AnswerPart
{
    /** An end state is given only once every byte before it was read. */
    AnswerState state = AnswerState::NotReplayable;
    /** Given as soon as it is known, with every part. */
    std::optional<AnswerHead> head;
    /** The bytes from offset on; empty where none are there yet. */
    std::uint64_t offset = 0;
    std::string bytes;
    /** With Broken: why. */
    std::string reason;
};

/** Bounds of the table. */
struct AnswerSettings
{
    std::size_t totalBytes = std::size_t{64} << 20;
    std::size_t bytesPerAnswer = std::size_t{4} << 20;
    /** How long an answer is kept after its end. */
    Millis keepFor{300000};
};

/** What an answer counts besides its body: its record and its places in the indexes. */
inline constexpr std::size_t answerOverheadBytes = 512;

/** The table. Every function may be called from any thread; its lock has LockRank::Answers. */
class AnswerTable
{
public:
    /**
     * Called when an answer that is followed has more to read. It runs on the thread that appended, without the
     * table's lock, and may still come once after detach(): let it only post to the reader's own loop.
     */
    using Wake = std::function<void()>;

    explicit AnswerTable(const AnswerSettings &settings);
    ~AnswerTable();

    /**
     * A request begins. Without a key nobody can join it, but its stream can be followed by its id.
     * @throws std::invalid_argument where the request is in the table already.
     */
    StartResult
    start(Millis now, const RequestId &request, const std::optional<ClaimKey> &key, std::uint64_t bodyDigest);

    /** The head arrived. No effect for an answer that has ended or is unknown. */
    void setHead(const RequestId &request, const AnswerHead &head);
    /** More of the body. False where the answer is not replayable any more, has ended or is unknown. */
    bool append(const RequestId &request, std::string_view bytes);
    /**
     * The answer has ended: state is Complete, Broken, or NotRun, which frees the key at once for the next attempt.
     * The first end counts; later ones have no effect.
     */
    void finish(Millis now, const RequestId &request, AnswerState state, const std::string &reason);

    /** Whose the key is here, whatever its state; std::nullopt where this router knows of none. */
    std::optional<RequestId> find(const ClaimKey &key) const;
    /** Follows an answer from its start; std::nullopt where it is unknown here. End it with detach(). */
    std::optional<AnswerCursor> attach(const RequestId &request, Wake wake);
    std::optional<AnswerCursor> attach(const ClaimKey &key, Wake wake);
    /** Up to maxBytes from the cursor on, and moves the cursor behind them. */
    AnswerPart read(AnswerCursor &cursor, std::size_t maxBytes);
    /** The reader goes away. */
    void detach(const AnswerCursor &cursor);

    /**
     * The answer of request is only read along from another router. It is kept for retries that
     * come here, but not handed over: no claim names it.
     */
    void setCopy(const RequestId &request);
    /** The whole answers of keyed requests that ran here or were handed over, the last ended first. */
    std::vector<KeptAnswer> kept(Millis now) const;
    /** Up to maxBytes of a kept answer's body; empty where it is kept no more. */
    std::string bytesOf(const RequestId &request, std::uint64_t offset, std::size_t maxBytes) const;
    /**
     * Keeps an answer that another router hands over, for what is left of its time. False where it is not whole, too
     * old or too large, or older than all for which there is room. The key stays whose it is here; the answer can then
     * be asked for by its attempt. An attempt that is known already stays as it is.
     */
    bool keep(Millis now, const KeptAnswer &answer, std::string body);

    /** Drops what has been kept for its time. */
    void tick(Millis now);
    /** When tick() has something to do next; Millis::never() where nothing is kept. */
    Millis nextDeadline() const;

    /** What counts against totalBytes. */
    std::size_t usedBytes() const;
    std::size_t count() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
