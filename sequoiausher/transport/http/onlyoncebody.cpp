#include "sequoiausher/transport/http/onlyoncebody.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace Sequoiausher {

OnlyOnceBody::OnlyOnceBody(QByteArray bytes, QObject *parent) : QIODevice(parent), content(std::move(bytes))
{
    this->open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

bool OnlyOnceBody::wasRead() const
{
    return this->position > 0;
}

bool OnlyOnceBody::wasResendRefused() const
{
    return this->resendRefused;
}

qint64 OnlyOnceBody::size() const
{
    return this->content.size();
}

qint64 OnlyOnceBody::bytesAvailable() const
{
    return this->content.size() - this->position;
}

bool OnlyOnceBody::atEnd() const
{
    return this->position >= this->content.size();
}

bool OnlyOnceBody::reset()
{
    this->resendRefused = true;
    return false;
}

bool OnlyOnceBody::seek(qint64 wanted)
{
    return wanted == this->position;
}

qint64 OnlyOnceBody::readData(char *data, qint64 maximum)
{
    const qint64 count = std::min(maximum, this->content.size() - this->position);
    std::memcpy(data, this->content.constData() + this->position, static_cast<std::size_t>(count));
    this->position += count;
    return count;
}

qint64 OnlyOnceBody::writeData(const char * /*data*/, qint64 /*length*/)
{
    return -1;
}

} // namespace Sequoiausher
