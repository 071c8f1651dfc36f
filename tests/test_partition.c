/*
    A host that can open no connection to any server, while callers, the source and the other hosts reach it.

    Seen: callers of such a host were refused after up to 1.8 s ("no place came free in time"), although the other hosts
    served theirs; the host was ready and returned in lookups all the time.
*/
#include <arpa/inet.h>
#include <sys/socket.h>

#include "gateway_fleet.h"

#define ALL_SERVERS 7U
#define DETECTION_CALLS 4 /* calls in which the host may still fail while it learns of the partition */
#define CALLS 20

/* A port at which nothing listens: connections to it are refused. */
static unsigned closed_port(void) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr*)&address, size), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr*)&address, &size), 0);
    close(fd);
    return ntohs(address.sin_port);
}

/* A port at which connections hang: its queue of connections to be accepted is full. */
static unsigned silent_port(void) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr*)&address, size), 0);
    ck_assert_int_eq(listen(fd, 0), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr*)&address, &size), 0);
    for (int i = 0; i < 2; i++) {
        int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)connect(filler, (struct sockaddr*)&address, sizeof(address));
    }
    return ntohs(address.sin_port);
}

static fleet_t* fleet_with_three_servers(void) {
    fleet_t* f = fleet_setup();
    f->servers[f->server_count++] = start_httpd(f, on_server);
    f->servers[f->server_count++] = start_httpd(f, on_server);
    f->closes_connections = true;
    f->halls[2] = "b";
    for (int i = 0; i < HOSTS; i++) {
        start_host(f, i);
    }
    for (int i = 0; i < HOSTS; i++) {
        poll_until(f, i, 7101, "/readyz", 200, NULL, NULL);
        poll_until(f, i, 7103, "/metrics", 200, "chalkway_members_live 3\n", NULL);
        ck_assert_uint_eq(call(f, i, 7100, "/x"), 200);
    }
    return f;
}

static uint32_t count_served(fleet_t* f, int host, uint32_t calls) {
    uint32_t served = 0;
    for (uint32_t i = 0; i < calls; i++) {
        served += call(f, host, 7100, "/x") == 200;
        pause_for(f, POLL_S);
    }
    return served;
}

/* Calls until one is served. */
static void poll_until_served(fleet_t* f, int host) {
    poll_until(f, host, 7100, "/x", 200, NULL, NULL);
}

/* Callers of the cut host are served as well as those of another one. */
static void expect_served_while_cut(unsigned target) {
    fleet_t* f = fleet_with_three_servers();
    redirect_connections(f, 0, ALL_SERVERS, target);
    count_served(f, 0, DETECTION_CALLS);
    uint32_t served_elsewhere = count_served(f, 1, CALLS);
    uint32_t served = count_served(f, 0, CALLS);
    ck_assert_uint_eq(served_elsewhere, CALLS);
    ck_assert_msg(served == CALLS, "served %u of %u at the cut host", served, CALLS);
    fleet_shutdown(f);
}

START_TEST(callers_of_a_host_whose_connections_are_refused_are_served) {
    expect_served_while_cut(closed_port());
}
END_TEST

START_TEST(callers_of_a_host_whose_connections_hang_are_served) {
    expect_served_while_cut(silent_port());
}
END_TEST

/* The callers of the cut host are served over connections that were opened before as well as over tunnels, a tunnel's
   host is killed, and the path is restored. */
START_TEST(callers_are_served_while_tunnel_hosts_end_and_after_the_path_is_back) {
    fleet_t* f = fleet_with_three_servers();
    redirect_connections(f, 0, ALL_SERVERS, closed_port());
    poll_until_served(f, 0);
    poll_until(f, 0, 7103, "/metrics", 200, "chalkway_pool_cut{pool=\"p\"} 1\n", NULL);
    poll_until(f, 1, 7103, "/metrics", 200, NULL, "chalkway_tunnels_opened_total 0\n"); /* of the same hall */
    stop_host(f, 1, SIGKILL);
    poll_until_served(f, 0);
    ck_assert_uint_eq(count_served(f, 0, CALLS), CALLS);
    restore_connections(f, 0);
    poll_until(f, 0, 7103, "/metrics", 200,
               "chalkway_pool_cut{pool=\"p\"} 0\nchalkway_pool_broken_paths{pool=\"p\"} 0\n", NULL);
    stop_host(f, 2, SIGKILL);
    ck_assert_uint_eq(count_served(f, 0, CALLS), CALLS);
    fleet_shutdown(f);
}
END_TEST

/* Requests sent while the only server is not reachable from anywhere: no host is cut off, and all stay ready. */
START_TEST(hosts_stay_ready_while_a_pool_is_down_for_all) {
    fleet_t* f = fleet_with_three_servers();
    unsigned target = closed_port();
    for (int i = 0; i < HOSTS; i++) {
        redirect_connections(f, i, ALL_SERVERS, target);
    }
    for (int i = 0; i < HOSTS; i++) {
        ck_assert_uint_eq(count_served(f, i, DETECTION_CALLS), 0);
    }
    for (int i = 0; i < HOSTS; i++) {
        ck_assert_uint_eq(call(f, i, 7101, "/readyz"), 200);
    }
    fleet_shutdown(f);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, callers_of_a_host_whose_connections_are_refused_are_served);
    tcase_add_test(t, callers_of_a_host_whose_connections_hang_are_served);
    tcase_add_test(t, callers_are_served_while_tunnel_hosts_end_and_after_the_path_is_back);
    tcase_add_test(t, hosts_stay_ready_while_a_pool_is_down_for_all);
}

int main(void) {
    return run_suite("partition", add_tests, 60);
}
