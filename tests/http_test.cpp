#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "runtime/http_client.hpp"
#include "runtime/http_parser.hpp"
#include "runtime/http_server.hpp"

namespace martenwall::rt {
namespace {

struct ParsedRequests {
  std::vector<std::string> bodies;
  int error = 0;
};

ParsedRequests read_all(const std::string& bytes, const std::vector<std::size_t>& cuts,
                        HttpParser::Limits limits = {}) {
  HttpParser parser{HttpParser::Kind::request, limits};
  ParsedRequests out;
  std::size_t pos = 0;
  std::size_t cut = 0;
  while (pos < bytes.size() && !parser.failed()) {
    const std::size_t step = cuts.empty() ? bytes.size() : 1 + cuts[cut++ % cuts.size()] % 40;
    const auto piece = std::string_view{bytes}.substr(pos, step);
    pos += parser.feed(piece);
    if (parser.complete()) {
      const auto m = parser.take_message();
      out.bodies.push_back(m.method + " " + m.target + " " + m.body);
    }
  }
  if (parser.failed()) out.error = parser.error_status();
  return out;
}

RC_GTEST_PROP(http_parser, any_split_gives_the_same_messages,
              (std::vector<std::string> bodies, std::vector<std::size_t> cuts)) {
  std::string bytes;
  std::vector<std::string> expected;
  for (const auto& body : bodies) {
    if (expected.size() % 2 == 0) {
      bytes += "POST /a/" + std::to_string(expected.size()) +
               " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
      std::string chunks;
      for (const char c : body) chunks += std::string{"1;x=y\r\n"} + c + "\r\n";
      bytes += "POST /a/" + std::to_string(expected.size()) + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
               chunks + "0\r\n\r\n";
    }
    expected.push_back("POST /a/" + std::to_string(expected.size()) + " " + body);
  }
  const auto parsed = read_all(bytes, cuts);
  RC_ASSERT(parsed.error == 0);
  RC_ASSERT(parsed.bodies == expected);
}

RC_GTEST_PROP(http_parser, garbage_ends_in_an_error_or_waits,
              (const std::string& garbage, std::vector<std::size_t> cuts)) {
  const auto parsed = read_all("GET " + garbage, cuts);
  RC_ASSERT(parsed.error == 0 || (parsed.error >= 400 && parsed.error < 600));
  RC_ASSERT(read_all("GET " + garbage, {}).error == parsed.error);
}

int error_of(const std::string& bytes) { return read_all(bytes, {}).error; }

TEST(http_parser, refuses_what_could_be_read_in_two_ways) {
  EXPECT_EQ(400, error_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"));
  EXPECT_EQ(400, error_of("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"));
  EXPECT_EQ(400, error_of("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"));
  EXPECT_EQ(400, error_of("GET  HTTP/1.1\r\n\r\n"));
  EXPECT_EQ(505, error_of("GET / HTTP/2.0\r\n\r\n"));
  EXPECT_EQ(501, error_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n"));
}

TEST(http_parser, keeps_its_limits) {
  EXPECT_EQ(413, error_of("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"));
  EXPECT_EQ(413, error_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"));
  EXPECT_EQ(431, error_of("GET /" + std::string(20000, 'a')));
  EXPECT_EQ(1U,
            read_all("POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(65536, 'x'), {}).bodies.size());
}

struct Loopback {
  Loop loop;
  HttpServer server{loop, Endpoint{"127.0.0.1", 0}, {}, [](HttpMessage m) -> Task<HttpResponse> {
                      if (m.target == "/throw") throw std::runtime_error("fault");
                      co_return HttpResponse{200, m.body, {}, false};
                    }};
  HttpClient client{loop, 8, 1 << 20, 4};
};

Task<void> send_request(Loopback& l, std::string target, std::string body, std::vector<HttpResult>& out) {
  std::string to = "127.0.0.1:" + std::to_string(l.server.port());
  std::string method = "POST";
  HttpResult r =
      co_await l.client.request(std::move(to), std::move(method), std::move(target), std::move(body), seconds(30));
  out.push_back(std::move(r));
}

// Uses real sockets; ends when all responses have arrived, however long that takes.
TEST(http_server, answers_large_bodies_and_survives_a_faulty_handler) {
  Loopback l;
  std::vector<HttpResult> out;
  spawn(l.server.serve());
  spawn(send_request(l, "/echo", std::string(60000, 'z'), out));
  while (out.empty()) l.loop.step();
  spawn(send_request(l, "/throw", "x", out));
  while (out.size() < 2) l.loop.step();
  spawn(send_request(l, "/echo", "after", out));
  while (out.size() < 3) l.loop.step();
  EXPECT_EQ(std::string(60000, 'z'), out[0].body);
  EXPECT_EQ(500, out[1].status);
  EXPECT_EQ("after", out[2].body);
}

TEST(http_client, tells_a_refused_connection_from_an_unknown_outcome) {
  Loopback l;
  std::vector<HttpResult> out;
  std::string to = "127.0.0.1:1";
  auto probe = [](Loopback& lb, std::string where, std::vector<HttpResult>& results) -> Task<void> {
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    HttpResult r = co_await lb.client.request(std::move(where), std::move(method), std::move(target), std::move(body),
                                              seconds(30));
    results.push_back(std::move(r));
  };
  spawn(probe(l, to, out));
  while (out.empty()) l.loop.step();
  EXPECT_EQ(Outcome::not_sent, out[0].outcome);
}

// After a stall, a process finds the requests that arrived meanwhile. Requests of clients that closed their connection
// are not handled; those of clients that still wait are.
TEST(http_server, after_a_stall_serves_only_those_who_still_wait) {
  Loop loop;
  std::vector<std::string> handled;
  std::vector<Duration> stalls;
  loop.on_stall([&](const Loop::Stall& s) { stalls.push_back(s.length); });
  HttpServer server{loop, Endpoint{"127.0.0.1", 0}, {}, [&](HttpMessage m) -> Task<HttpResponse> {
                      handled.push_back(m.target);
                      co_return HttpResponse{200, "{}", {}, false};
                    }};
  spawn(server.serve());
  loop.step();
  const auto connect_client = [&] {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(server.port());
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(0, ::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a));
    return fd;
  };
  const auto send = [](int fd, const std::string& target) {
    const std::string text = "GET " + target + " HTTP/1.1\r\n\r\n";
    EXPECT_EQ(static_cast<ssize_t>(text.size()), ::send(fd, text.data(), text.size(), 0));
  };
  const int closed_client = connect_client();
  const int waiting_client = connect_client();
  loop.step();
  send(closed_client, "/gone");
  send(waiting_client, "/waits");
  ::close(closed_client);
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));  // a longer sleep is fine: the stall is measured
  while (handled.empty()) loop.step();
  loop.step();
  EXPECT_EQ(std::vector<std::string>{"/waits"}, handled);
  ASSERT_FALSE(stalls.empty());
  EXPECT_GE(stalls[0], seconds(1));
  ::close(waiting_client);
}

}  // namespace
}  // namespace martenwall::rt
