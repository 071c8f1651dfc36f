/* Who passes news on in fleets of any size, on no clock at all: every host hears of everything, through few datagrams,
   and relays that are lost are replaced. */
#include <stdlib.h>
#include <string.h>

#include "../chalkway_relay.h"
#include "test.h"

#define HOSTS_MAX 426
#define HALLS 6
#define WIDE_RELAYS 3 /* of a hall whose hosts have links to spare */

typedef struct host_t {
    cw_member_info_t info;
    uint32_t hall;
    uint32_t heard; /* copies of the one piece of news */
} host_t;

typedef struct fleet_t {
    host_t hosts[HOSTS_MAX];
    uint32_t count;
    cw_relay_plan_t plan;
    uint32_t datagrams;
} fleet_t;

static void fleet_make(fleet_t* f, uint32_t count) {
    memset(f, 0, sizeof(*f));
    f->count = count;
    f->plan = cw_relay_plan(count);
    for (uint32_t i = 0; i < count; i++) {
        f->hosts[i].info.id = cw_mix(count, i);
        f->hosts[i].info.link_mbps = i / HALLS % 16 == 0 ? 200 : 20; /* three or four of 49 */
        f->hosts[i].hall = i % HALLS;
    }
}

/* The hosts of a hall as all see them: relays first. Returns their number. */
static uint32_t hall_order(const fleet_t* f, uint32_t hall, uint32_t* out) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < f->count; i++) {
        if (f->hosts[i].hall != hall) {
            continue;
        }
        uint32_t at = count++;
        for (; at > 0 && cw_relay_before(&f->hosts[i].info, &f->hosts[out[at - 1]].info); at--) {
            out[at] = out[at - 1];
        }
        out[at] = i;
    }
    return count;
}

/* The relays of a hall. Returns their number. */
static uint32_t relays_of(const fleet_t* f, uint32_t hall, uint32_t* order) {
    uint32_t links[HOSTS_MAX];
    uint32_t count = hall_order(f, hall, order);
    for (uint32_t i = 0; i < count; i++) {
        links[i] = f->hosts[order[i]].info.link_mbps;
    }
    return cw_relay_count(&f->plan, links, count);
}

static uint32_t chosen(const fleet_t* f, uint32_t hall, uint64_t own, uint64_t random) {
    uint32_t order[HOSTS_MAX] = {0};
    uint64_t ids[HOSTS_MAX];
    uint32_t relays = relays_of(f, hall, order);
    for (uint32_t i = 0; i < relays; i++) {
        ids[i] = f->hosts[order[i]].info.id;
    }
    return order[cw_relay_choose(ids, relays, &f->plan, own, random)];
}

static bool is_relay(const fleet_t* f, uint32_t host) {
    uint32_t order[HOSTS_MAX] = {0};
    uint32_t relays = relays_of(f, f->hosts[host].hall, order);
    for (uint32_t i = 0; i < relays; i++) {
        if (order[i] == host) {
            return true;
        }
    }
    return false;
}

static void tell_hall(fleet_t* f, uint32_t from) {
    for (uint32_t i = 0; i < f->count; i++) {
        if (i != from && f->hosts[i].hall == f->hosts[from].hall) {
            f->hosts[i].heard++;
            f->datagrams++;
        }
    }
}

/* One piece of news of a host, on all its way. */
static void tell(fleet_t* f, uint32_t origin) {
    uint32_t relay = origin;
    if (!is_relay(f, origin)) {
        relay = chosen(f, f->hosts[origin].hall, f->hosts[origin].info.id, 1);
        f->hosts[relay].heard++;
        f->datagrams++;
    }
    tell_hall(f, relay);
    for (uint32_t hall = 0; hall < HALLS; hall++) {
        if (hall != f->hosts[origin].hall) {
            uint32_t other = chosen(f, hall, f->hosts[relay].info.id, cw_mix(origin, hall));
            f->hosts[other].heard++;
            f->datagrams++;
            tell_hall(f, other);
        }
    }
}

START_TEST(every_host_hears_of_everything_in_fleets_of_any_size) {
    static const uint32_t sizes[] = {6, 9, 16, 17, 87, 295, 426};
    static fleet_t f;
    for (uint32_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
        for (uint32_t origin = 0; origin < sizes[s]; origin += 1 + sizes[s] / 7) {
            fleet_make(&f, sizes[s]);
            tell(&f, origin);
            for (uint32_t i = 0; i < sizes[s]; i++) {
                ck_assert_uint_ge(f.hosts[i].heard + (i == origin), 1);
                ck_assert_uint_le(f.hosts[i].heard, 2); /* a relay hears of its own hall's once more at most */
            }
        }
    }
}
END_TEST

/* Datagrams a second that a host which is no relay hears at most: in a larger fleet each holds more news, or is younger
   than it must be. */
START_TEST(what_a_host_hears_does_not_grow_with_the_fleet) {
    double before = 1000.0 * WIDE_RELAYS / 4;
    for (uint32_t hosts = 17; hosts <= HOSTS_MAX; hosts++) {
        cw_relay_plan_t plan = cw_relay_plan(hosts);
        double heard = WIDE_RELAYS * 1000.0 / plan.gather_ms;
        ck_assert_double_le(heard, before);
        ck_assert(hosts < 256 || heard <= 200.0);
        ck_assert_uint_ge(plan.repeat_ms, cw_relay_plan(hosts - 1).repeat_ms);
        before = heard;
    }
    ck_assert_uint_le(cw_relay_plan(10000).gather_ms, 25); /* news waits no longer than that at a relay */
    ck_assert_uint_eq(cw_relay_plan(9).gather_ms, 0);
}
END_TEST

START_TEST(the_widest_links_pass_news_on) {
    static fleet_t f;
    fleet_make(&f, 295);
    for (uint32_t i = 0; i < f.count; i++) {
        ck_assert(!is_relay(&f, i) || f.hosts[i].info.link_mbps == 200);
    }
}
END_TEST

/* A relay sends its whole hall's copies: narrow links are shared by more relays, wide ones by few. */
START_TEST(a_hall_has_as_many_relays_as_its_links_need) {
    cw_relay_plan_t plan = cw_relay_plan(87);
    uint32_t links[30];
    for (uint32_t i = 0; i < 30; i++) {
        links[i] = i < 2 ? 200 : 10;
    }
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), 2); /* not the narrow third */
    links[0] = 200;
    links[1] = 10;
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), 2);
    links[0] = 10;
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), 9);
    for (uint32_t i = 0; i < 30; i++) {
        links[i] = 0; /* not said */
    }
    ck_assert_uint_eq(cw_relay_count(&plan, links, 30), WIDE_RELAYS);
    ck_assert_uint_eq(cw_relay_count(&plan, links, 1), 1);
    plan = cw_relay_plan(9);
    ck_assert_uint_eq(cw_relay_count(&plan, links, 3), 3); /* a small fleet: all */
}
END_TEST

/* While relays gather, the news of a host stays in order only on one way; a lost relay is left for another one. */
START_TEST(a_host_keeps_its_relay_until_it_is_lost) {
    static fleet_t f;
    fleet_make(&f, 87);
    uint32_t relay = chosen(&f, 1, 77, 1);
    for (uint64_t random = 0; random < 50; random++) {
        ck_assert_uint_eq(chosen(&f, 1, 77, random), relay);
    }
    f.hosts[relay].hall = HALLS; /* no longer among them */
    uint32_t next = chosen(&f, 1, 77, 1);
    ck_assert_uint_ne(next, relay);
    ck_assert_uint_eq(f.hosts[next].hall, 1);
}
END_TEST

START_TEST(each_relay_serves_a_part_of_its_hall) {
    static fleet_t f;
    fleet_make(&f, 295);
    uint32_t served[HOSTS_MAX] = {0};
    for (uint32_t i = 0; i < f.count; i++) {
        served[chosen(&f, f.hosts[i].hall, f.hosts[i].info.id, 1)]++;
    }
    for (uint32_t i = 0; i < f.count; i++) {
        ck_assert(is_relay(&f, i) == (served[i] > 0));
        ck_assert_uint_le(served[i], 295 / HALLS * 2 / 3);
    }
}
END_TEST

/* In a small fleet all hosts of a hall take turns, so that one that is lost takes only some news along. */
START_TEST(in_a_small_fleet_any_host_passes_news_on) {
    static fleet_t f;
    uint32_t used = 0;
    bool seen[HOSTS_MAX] = {false};
    fleet_make(&f, 16);
    for (uint64_t random = 0; random < 100; random++) {
        uint32_t host = chosen(&f, 2, 77, cw_mix(random, 3));
        used += !seen[host];
        seen[host] = true;
    }
    uint32_t order[HOSTS_MAX] = {0};
    ck_assert_uint_eq(used, hall_order(&f, 2, order));
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, every_host_hears_of_everything_in_fleets_of_any_size);
    tcase_add_test(t, what_a_host_hears_does_not_grow_with_the_fleet);
    tcase_add_test(t, the_widest_links_pass_news_on);
    tcase_add_test(t, a_hall_has_as_many_relays_as_its_links_need);
    tcase_add_test(t, a_host_keeps_its_relay_until_it_is_lost);
    tcase_add_test(t, each_relay_serves_a_part_of_its_hall);
    tcase_add_test(t, in_a_small_fleet_any_host_passes_news_on);
}

int main(void) {
    return run_suite("relay", add, 30);
}
