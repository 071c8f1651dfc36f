/* Choice of relays in fleets of any size: every update reaches every host in few datagrams, and a lost relay is
   replaced. */
#include <stdlib.h>
#include <string.h>

#include "../chalkway_relay.h"
#include "test.h"

#define HOSTS_MAX 426
#define HALLS 6
#define WIDE_RELAYS 3 /* relays of a hall whose links have enough bandwidth */

typedef struct host_t {
    cw_member_info_t info;
    uint32_t hall;
    uint32_t received; /* copies of the update */
} host_t;

typedef struct fleet_t {
    host_t hosts[HOSTS_MAX];
    uint32_t count;
    cw_relay_plan_t plan;
    uint32_t datagrams;
} fleet_t;

static void fleet_init(fleet_t* f, uint32_t count) {
    memset(f, 0, sizeof(*f));
    f->count = count;
    f->plan = cw_relay_plan(count);
    for (uint32_t i = 0; i < count; i++) {
        f->hosts[i].info.id = cw_mix(count, i);
        f->hosts[i].info.link_mbps = i / HALLS % 16 == 0 ? 200 : 20; /* three or four of 49 hosts */
        f->hosts[i].hall = i % HALLS;
    }
}

/* Writes the hosts of a hall in rank order, relays first. Returns their number. */
static uint32_t rank_hall(const fleet_t* f, uint32_t hall, uint32_t* out) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < f->count; i++) {
        if (f->hosts[i].hall != hall) {
            continue;
        }
        uint32_t at = count++;
        for (; at > 0 && cw_relay_ranks_before(&f->hosts[i].info, &f->hosts[out[at - 1]].info); at--) {
            out[at] = out[at - 1];
        }
        out[at] = i;
    }
    return count;
}

/* Writes the hosts of a hall in rank order. Returns the number of relays, which are the first ones. */
static uint32_t rank_relays(const fleet_t* f, uint32_t hall, uint32_t* order) {
    uint32_t links[HOSTS_MAX];
    uint32_t count = rank_hall(f, hall, order);
    for (uint32_t i = 0; i < count; i++) {
        links[i] = f->hosts[order[i]].info.link_mbps;
    }
    return cw_relay_count(&f->plan, links, count);
}

static uint32_t choose_relay(const fleet_t* f, uint32_t hall, uint64_t own, uint64_t random) {
    uint32_t order[HOSTS_MAX] = {0};
    uint64_t ids[HOSTS_MAX];
    uint32_t relays = rank_relays(f, hall, order);
    for (uint32_t i = 0; i < relays; i++) {
        ids[i] = f->hosts[order[i]].info.id;
    }
    return order[cw_relay_choose(ids, relays, &f->plan, own, random)];
}

static bool is_relay(const fleet_t* f, uint32_t host) {
    uint32_t order[HOSTS_MAX] = {0};
    uint32_t relays = rank_relays(f, f->hosts[host].hall, order);
    for (uint32_t i = 0; i < relays; i++) {
        if (order[i] == host) {
            return true;
        }
    }
    return false;
}

static void send_to_hall(fleet_t* f, uint32_t from) {
    for (uint32_t i = 0; i < f->count; i++) {
        if (i != from && f->hosts[i].hall == f->hosts[from].hall) {
            f->hosts[i].received++;
            f->datagrams++;
        }
    }
}

/* Sends one update of a host along its full path. */
static void send_update(fleet_t* f, uint32_t origin) {
    uint32_t relay = origin;
    if (!is_relay(f, origin)) {
        relay = choose_relay(f, f->hosts[origin].hall, f->hosts[origin].info.id, 1);
        f->hosts[relay].received++;
        f->datagrams++;
    }
    send_to_hall(f, relay);
    for (uint32_t hall = 0; hall < HALLS; hall++) {
        if (hall != f->hosts[origin].hall) {
            uint32_t other = choose_relay(f, hall, f->hosts[relay].info.id, cw_mix(origin, hall));
            f->hosts[other].received++;
            f->datagrams++;
            send_to_hall(f, other);
        }
    }
}

START_TEST(every_update_reaches_every_host_in_any_fleet_size) {
    static const uint32_t sizes[] = {6, 9, 16, 17, 87, 295, 426};
    static fleet_t f;
    for (uint32_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
        for (uint32_t origin = 0; origin < sizes[s]; origin += 1 + sizes[s] / 7) {
            fleet_init(&f, sizes[s]);
            send_update(&f, origin);
            for (uint32_t i = 0; i < sizes[s]; i++) {
                ck_assert_uint_ge(f.hosts[i].received + (i == origin), 1);
                /* A relay receives an update of its own hall at most once more. */
                ck_assert_uint_le(f.hosts[i].received, 2);
            }
        }
    }
}
END_TEST

/* The upper bound of the datagrams per second that a host other than a relay receives must not grow with the fleet:
   each datagram of a larger fleet carries a larger batch. */
START_TEST(datagrams_per_host_do_not_grow_with_the_fleet) {
    double previous_per_s = 1000.0 * WIDE_RELAYS / 4;
    for (uint32_t hosts = 17; hosts <= HOSTS_MAX; hosts++) {
        cw_relay_plan_t plan = cw_relay_plan(hosts);
        double received = WIDE_RELAYS * 1000.0 / plan.batch_ms;
        ck_assert_double_le(received, previous_per_s);
        ck_assert(hosts < 256 || received <= 200.0);
        ck_assert_uint_ge(plan.resend_ms, cw_relay_plan(hosts - 1).resend_ms);
        previous_per_s = received;
    }
    ck_assert_uint_le(cw_relay_plan(10000).batch_ms, 25); /* longest time that an update waits at a relay */
    ck_assert_uint_eq(cw_relay_plan(9).batch_ms, 0);
}
END_TEST

START_TEST(hosts_with_the_widest_links_are_relays) {
    static fleet_t f;
    fleet_init(&f, 295);
    for (uint32_t i = 0; i < f.count; i++) {
        ck_assert(!is_relay(&f, i) || f.hosts[i].info.link_mbps == 200);
    }
}
END_TEST

/* A relay sends the copies for its whole hall: a hall needs more relays when their links are narrow. */
START_TEST(relay_count_follows_the_link_bandwidth) {
    cw_relay_plan_t plan = cw_relay_plan(87);
    uint32_t links[30];
    for (uint32_t i = 0; i < 30; i++) {
        links[i] = i < 2 ? 200 : 10;
    }
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), 2); /* the third host is no relay, since its link is narrow */
    links[0] = 200;
    links[1] = 10;
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), 2);
    links[0] = 10;
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), 9);
    for (uint32_t i = 0; i < 30; i++) {
        links[i] = 0; /* unknown */
    }
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), WIDE_RELAYS);
    ck_assert_uint_eq(cw_relay_count(&plan, links, 1), 1);
    plan = cw_relay_plan(9);
    ck_assert_uint_eq(cw_relay_count(&plan, links, 3), 3); /* a small fleet: all hosts */
}
END_TEST

/* While relays batch, a host's updates stay in order only if all pass through one relay. When that relay is lost,
   another one is chosen. */
START_TEST(host_keeps_its_relay_until_it_is_lost) {
    static fleet_t f;
    fleet_init(&f, 87);
    uint32_t relay = choose_relay(&f, 1, 77, 1);
    for (uint64_t random = 0; random < 50; random++) {
        ck_assert_uint_eq(choose_relay(&f, 1, 77, random), relay);
    }
    f.hosts[relay].hall = HALLS; /* no longer in the hall */
    uint32_t next = choose_relay(&f, 1, 77, 1);
    ck_assert_uint_ne(next, relay);
    ck_assert_uint_eq(f.hosts[next].hall, 1);
}
END_TEST

START_TEST(relays_share_the_hosts_of_their_hall) {
    static fleet_t f;
    fleet_init(&f, 295);
    uint32_t served[HOSTS_MAX] = {0};
    for (uint32_t i = 0; i < f.count; i++) {
        served[choose_relay(&f, f.hosts[i].hall, f.hosts[i].info.id, 1)]++;
    }
    for (uint32_t i = 0; i < f.count; i++) {
        ck_assert(is_relay(&f, i) == (served[i] > 0));
        ck_assert_uint_le(served[i], 295 / HALLS * 2 / 3);
    }
}
END_TEST

/* In a small fleet any host of a hall may be chosen, so that a lost one loses only some of the updates. */
START_TEST(any_host_is_a_relay_in_a_small_fleet) {
    static fleet_t f;
    uint32_t used = 0;
    bool seen[HOSTS_MAX] = {false};
    fleet_init(&f, 16);
    for (uint64_t random = 0; random < 100; random++) {
        uint32_t host = choose_relay(&f, 2, 77, cw_mix(random, 3));
        used += !seen[host];
        seen[host] = true;
    }
    uint32_t order[HOSTS_MAX] = {0};
    ck_assert_uint_eq(used, rank_hall(&f, 2, order));
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, every_update_reaches_every_host_in_any_fleet_size);
    tcase_add_test(t, datagrams_per_host_do_not_grow_with_the_fleet);
    tcase_add_test(t, hosts_with_the_widest_links_are_relays);
    tcase_add_test(t, relay_count_follows_the_link_bandwidth);
    tcase_add_test(t, host_keeps_its_relay_until_it_is_lost);
    tcase_add_test(t, relays_share_the_hosts_of_their_hall);
    tcase_add_test(t, any_host_is_a_relay_in_a_small_fleet);
}

int main(void) {
    return run_suite("relay", add_tests, 30);
}
