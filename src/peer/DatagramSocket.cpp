#include "peer/Socket.h"

#include <sagechute/Peer.h>

#include <poll.h>

#include <array>
#include <atomic>
#include <thread>

namespace sagechute::peer {
namespace {

    constexpr std::size_t kIpAndUdpHeaderBytes = 28;
    constexpr std::size_t kLargestDatagram = 65536;

    class UdpSocket final : public DatagramSocket {
    public:
        UdpSocket(UniqueFd fd, WakeSignal stop, Receiver receiver)
            : m_fd(std::move(fd))
            , m_stop(std::move(stop))
            , m_receiver(std::move(receiver))
            , m_address(SocketAddress::local(m_fd.value()).text())
            , m_thread([this] { run(); })
        {
        }

        ~UdpSocket() override
        {
            m_stopping = true;
            m_stop.signal();
            m_thread.join();
        }

        void send(const std::string& toAddress, std::string_view bytes) override
        {
            const auto to = SocketAddress::parse(toAddress);
            if (!to.ok())
                return;
            const ssize_t n = ::sendto(m_fd.value(), bytes.data(), bytes.size(), 0, to->raw(), to->length);
            // A datagram that the kernel refuses counts as lost, like one lost on the way.
            if (n >= 0)
                m_sent += bytes.size() + kIpAndUdpHeaderBytes;
        }

        std::string listenAddress() const override { return m_address; }
        ByteCount bytes() const override { return { m_sent, m_received }; }

    private:
        void run()
        {
            std::array<pollfd, 2> polled { pollfd { m_fd.value(), POLLIN, 0 }, pollfd { m_stop.fd(), POLLIN, 0 } };
            while (!m_stopping) {
                ::poll(polled.data(), polled.size(), -1);
                receiveWaiting();
            }
        }

        void receiveWaiting()
        {
            while (!m_stopping) {
                SocketAddress from;
                from.length = sizeof from.storage;
                const ssize_t n
                    = ::recvfrom(m_fd.value(), m_buffer.data(), m_buffer.size(), 0, from.raw(), &from.length);
                if (n < 0)
                    return;
                m_received += static_cast<std::size_t>(n) + kIpAndUdpHeaderBytes;
                m_receiver(from.text(), std::string_view(m_buffer.data(), static_cast<std::size_t>(n)));
            }
        }

        UniqueFd m_fd;
        WakeSignal m_stop;
        Receiver m_receiver;
        std::string m_address;
        std::atomic<bool> m_stopping = false;
        std::atomic<std::uint64_t> m_sent = 0;
        std::atomic<std::uint64_t> m_received = 0;
        std::array<char, kLargestDatagram> m_buffer {};
        std::thread m_thread;
    };

} // namespace

absl::StatusOr<std::unique_ptr<DatagramSocket>> DatagramSocket::make(
    const std::string& listenAddress, Receiver receiver)
{
    auto fd = bindUdp(listenAddress);
    if (!fd.ok())
        return fd.status();
    auto stop = WakeSignal::make();
    if (!stop.ok())
        return stop.status();
    return std::make_unique<UdpSocket>(*std::move(fd), *std::move(stop), std::move(receiver));
}

} // namespace sagechute::peer
