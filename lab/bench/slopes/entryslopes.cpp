#include "lab/bench/slopes/processcost.h"
#include "lab/bench/slopes/slopes.h"
#include "sequoiausher/state/answers/answertable.h"

#include <stdexcept>

namespace Sequoiausher {

namespace {

constexpr std::size_t chunk = 256;

/** Streams a whole answer of that many bytes into the table. */
void keep(AnswerTable &answers, std::uint64_t number, std::size_t bytes)
{
    const RequestId request{7, number};
    answers.start(Millis{0}, request, ClaimKey{8, number}, 1);
    answers.setHead(request, {200, "text/event-stream"});
    for (std::size_t written = 0; written < bytes; written += chunk) {
        answers.append(request, std::string(chunk, 'x'));
    }
    answers.finish(Millis{0}, request, AnswerState::Complete, "");
}

} // namespace

void measureEntry()
{
    constexpr std::uint64_t count = 1000;
    AnswerSettings roomy;
    roomy.totalBytes = std::size_t{1} << 30;
    std::vector<SlopeSample> perByte;
    std::vector<SlopeSample> time;
    for (const std::size_t bytes : {256U, 1024U, 4096U, 16384U}) {
        const double heapBefore = heapBytes();
        AnswerTable answers(roomy);
        const double before = processorMicros();
        for (std::uint64_t i = 0; i < count; ++i) {
            keep(answers, i, bytes);
        }
        if (answers.count() != count) {
            throw std::runtime_error("the table did not keep every answer");
        }
        const auto size = static_cast<double>(bytes);
        time.push_back({size / chunk, (processorMicros() - before) / count});
        perByte.push_back({size, (heapBytes() - heapBefore) / count});
    }
    printSlope("entry_memory_per_kept_byte", perByte, "bytes");
    printSlope("entry_keep_time_per_chunk", time, "us");
}

} // namespace Sequoiausher
