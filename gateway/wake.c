#include "wake.h"

#include "../io/clock.h"

/* The two clocks are read one after the other; less than this is no suspension, and harms nothing. */
#define WAKE_MIN_MS 50

static void on_turn(struct ev_loop* loop, ev_check* check, int events) {
    (void)loop;
    (void)events;
    wake_t* w = check->data;
    int64_t now_ms = cw_clock_suspended_ms();
    int64_t slept_ms = now_ms - w->seen_ms;
    if (slept_ms >= WAKE_MIN_MS) {
        w->seen_ms = now_ms;
        w->on_wake(w->user_data, slept_ms);
    }
}

void wake_setup(wake_t* w, struct ev_loop* loop, void (*on_wake)(void* user_data, int64_t suspended_ms),
                void* user_data) {
    *w = (wake_t){.loop = loop, .on_wake = on_wake, .user_data = user_data, .seen_ms = cw_clock_suspended_ms()};
    ev_check_init(&w->check, on_turn);
    ev_set_priority(&w->check, EV_MAXPRI); /* before every other event of the turn */
    w->check.data = w;
    ev_check_start(loop, &w->check);
}

void wake_shutdown(wake_t* w) {
    ev_check_stop(w->loop, &w->check);
}
