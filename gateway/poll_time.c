#include "poll_time.h"

#include <stdbool.h>
#include <string.h>

#include "clock.h"

#define GAP_MIN_MS 100 /* between two polls: the process stood still */

static void on_loop_check(struct ev_loop* loop, ev_check* check, int events) {
    (void)loop;
    (void)events;
    poll_time_t* p = check->data;
    int64_t now_ms = clock_ms();
    if (now_ms - p->times_ms[0] > GAP_MIN_MS) {
        p->before_gap_ms = poll_time_before_ms(p);
        p->after_gap_ms = now_ms;
    }
    memmove(p->times_ms + 1, p->times_ms, sizeof(p->times_ms) - sizeof(p->times_ms[0]));
    p->times_ms[0] = now_ms;
}

void poll_time_setup(poll_time_t* p, struct ev_loop* loop) {
    *p = (poll_time_t){.loop = loop};
    for (int i = 0; i < POLL_TIMES; i++) {
        p->times_ms[i] = clock_ms();
    }
    ev_check_init(&p->check, on_loop_check);
    ev_set_priority(&p->check, EV_MAXPRI); /* before every other event of the iteration */
    p->check.data = p;
    ev_check_start(loop, &p->check);
    ev_unref(loop);
}

void poll_time_shutdown(poll_time_t* p) {
    ev_ref(p->loop);
    ev_check_stop(p->loop, &p->check);
}

int64_t poll_time_before_ms(const poll_time_t* p) {
    bool is_after_gap = p->after_gap_ms && p->times_ms[0] - p->after_gap_ms <= CLOCK_READ_LATE_MS;
    return is_after_gap ? p->before_gap_ms : p->times_ms[POLL_TIMES - 1];
}
