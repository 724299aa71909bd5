#include "peer/StreamLoop.h"

#include <sys/epoll.h>

namespace sagechute::peer {

absl::StatusOr<std::unique_ptr<MessageStreams>> MessageStreams::make(
    const StreamOptions& options, StreamListener& listener)
{
    if (!parseLife(lifeText(options.self)).ok()) {
        return makeError(ErrorKind::BadRequest, "the VM's identifier is empty or has characters that can't be sent",
            "use letters, digits, dots and dashes, at most 128");
    }
    auto listenFd = listenTcp(options.listenAddress);
    if (!listenFd.ok())
        return listenFd.status();
    auto wake = WakeSignal::make();
    if (!wake.ok())
        return wake.status();
    UniqueFd poller(::epoll_create1(EPOLL_CLOEXEC));
    if (poller.value() < 0)
        return makeError(ErrorKind::Internal, "could not make an epoll instance", "raise the limit of open files");
    return std::make_unique<StreamLoop>(options, listener, *std::move(listenFd), std::move(poller), *std::move(wake));
}

} // namespace sagechute::peer
