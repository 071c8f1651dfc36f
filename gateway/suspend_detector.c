#include "suspend_detector.h"

#include "../io/clock.h"

/* Suspended time is the difference of two clocks that are read one after the other, so smaller values are noise. A
   suspension that is shorter than this does no harm. */
#define SUSPENSION_MIN_MS 50

static void on_loop_check(struct ev_loop* loop, ev_check* check, int events) {
    (void)loop;
    (void)events;
    suspend_detector_t* w = check->data;
    int64_t total_ms = cw_clock_suspended_ms();
    int64_t suspended_ms = total_ms - w->reported_ms;
    if (suspended_ms >= SUSPENSION_MIN_MS) {
        w->reported_ms = total_ms;
        w->on_resume(w->user_data, suspended_ms);
    }
}

void suspend_detector_setup(suspend_detector_t* w, struct ev_loop* loop,
                            void (*on_resume)(void* user_data, int64_t suspended_ms), void* user_data) {
    *w = (suspend_detector_t){
        .loop = loop, .on_resume = on_resume, .user_data = user_data, .reported_ms = cw_clock_suspended_ms()};
    ev_check_init(&w->check, on_loop_check);
    ev_set_priority(&w->check, EV_MAXPRI); /* before every other event of the iteration */
    w->check.data = w;
    ev_check_start(loop, &w->check);
}

void suspend_detector_shutdown(suspend_detector_t* w) {
    ev_check_stop(w->loop, &w->check);
}
