#include "sequoiausher/transport/router/joinedanswer.h"

namespace Sequoiausher {

namespace {

constexpr std::size_t readBytes = 64 * 1024;

} // namespace

JoinedAnswer::JoinedAnswer(AnswerTable &theTable, JoinedAnswerListener &theListener)
    : table(theTable)
    , listener(theListener)
{
}

// Otherwise the table would keep the reader and its bytes, and wake an event loop that may have ended.
JoinedAnswer::~JoinedAnswer()
{
    this->leave();
}

bool JoinedAnswer::attach(const RequestId &attempt, const AnswerTable::Wake &wake)
{
    this->cursor = this->table.attach(attempt, wake);
    return this->cursor.has_value();
}

AnswerState JoinedAnswer::pump()
{
    while (this->cursor) {
        const AnswerPart part = this->table.read(*this->cursor, readBytes);
        if (part.head && !this->headTold) {
            this->headTold = true;
            this->listener.joinedHead(*part.head);
        }
        if (!part.bytes.empty()) {
            this->listener.joinedPart(part.bytes);
            continue;
        }
        if (part.state != AnswerState::Running) {
            this->leave();
        }
        return part.state;
    }
    return AnswerState::Running;
}

void JoinedAnswer::leave()
{
    if (this->cursor) {
        this->table.detach(*this->cursor);
        this->cursor.reset();
    }
}

bool JoinedAnswer::isFollowing() const
{
    return this->cursor.has_value();
}

bool JoinedAnswer::isHeadTold() const
{
    return this->headTold;
}

} // namespace Sequoiausher
